// Package basilaudit stores the audit trail: a totally ordered log of changes in
// the platform's table. Every change of hosts, configuration and waves is
// appended in the transaction that makes it, so the trail is both the audit log
// for operators and the change feed from which entry hosts build their view.
package basilaudit
