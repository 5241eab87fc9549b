// Package basilaudit keeps the audit trail of changes: one totally ordered log
// in the platform's table. Every change of hosts, configuration and waves is
// appended in the transaction that makes it, so the trail is at once the record
// for operators and the feed from which entry hosts build their view.
package basilaudit
