package basiljob

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
)

// Layout of a serial: 6 bytes of time in ms, 4 bytes of counter, 6 bytes of MAC.
const (
	serialTimeBytes = 6
	serialBodyBytes = 10
)

// mint makes serials that it knows again without remembering them.
//
// Serials grow with each call, also when the wall clock is set back. The MAC
// keeps callers from naming serials that were never handed out.
type mint struct {
	mutex   sync.Mutex
	mac     hash.Hash
	tag     [sha256.Size]byte
	last    uint64 // ms
	counter uint32
}

func newMint() *mint {
	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key) // never fails
	return &mint{mac: hmac.New(sha256.New, key)}
}

func (m *mint) next() ulid.ULID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.last = max(m.last, ulid.Timestamp(time.Now()))
	m.counter++
	if m.counter == 0 {
		m.last++
	}
	var s ulid.ULID
	_ = s.SetTime(m.last) // fails only in the year 10889
	binary.BigEndian.PutUint32(s[serialTimeBytes:], m.counter)
	copy(s[serialBodyBytes:], m.sum(s))
	return s
}

func (m *mint) knows(s ulid.ULID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return hmac.Equal(s[serialBodyBytes:], m.sum(s)[:len(s)-serialBodyBytes])
}

func (m *mint) sum(s ulid.ULID) []byte {
	m.mac.Reset()
	_, _ = m.mac.Write(s[:serialBodyBytes])
	return m.mac.Sum(m.tag[:0])
}
