package event

//go:generate go run ./eventdoc -out ../../docs/EVENTS.md
