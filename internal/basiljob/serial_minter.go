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

// A serial consists of a 6-byte timestamp in ms, a 4-byte counter and a 6-byte MAC.
const (
	serialTimestampBytes = 6
	serialSignedBytes    = 10 // timestamp and counter, which the MAC covers
)

// serialMinter generates serials and can verify later that it generated them, without storing them.
//
// Serials increase with each call, even if the wall clock is set back. The MAC
// prevents callers from using serials that were never issued.
type serialMinter struct {
	mutex     sync.Mutex
	mac       hash.Hash
	sumBuffer [sha256.Size]byte // reused by sum
	lastMS    uint64            // timestamp of the last serial, in ms
	counter   uint32
}

func newSerialMinter() *serialMinter {
	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key) // never fails
	return &serialMinter{mac: hmac.New(sha256.New, key)}
}

// next returns a serial greater than all earlier ones.
func (m *serialMinter) next() ulid.ULID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastMS = max(m.lastMS, ulid.Timestamp(time.Now()))
	m.counter++
	if m.counter == 0 {
		m.lastMS++
	}
	var s ulid.ULID
	_ = s.SetTime(m.lastMS) // fails only in the year 10889
	binary.BigEndian.PutUint32(s[serialTimestampBytes:], m.counter)
	copy(s[serialSignedBytes:], m.sum(s))
	return s
}

// verify reports whether the serial carries a valid MAC of this minter.
func (m *serialMinter) verify(s ulid.ULID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return hmac.Equal(s[serialSignedBytes:], m.sum(s)[:len(s)-serialSignedBytes])
}

// sum returns the full MAC of the serial's timestamp and counter.
func (m *serialMinter) sum(s ulid.ULID) []byte {
	m.mac.Reset()
	_, _ = m.mac.Write(s[:serialSignedBytes])
	return m.mac.Sum(m.sumBuffer[:0])
}
