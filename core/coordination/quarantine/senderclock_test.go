package quarantine

import (
	"testing"
	"time"
)

// The estimate is the least delay in the window, follows a sender whose clock drifts or stood
// still, and is corrected by a faster message.
func TestSenderClock(t *testing.T) {
	start := time.Unix(1000, 0)
	c := &SenderClock{}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	receive := func(sent, delay time.Duration, reading time.Duration) (lateness, correction time.Duration) {
		sentAt, x := c.SentAt(reading, start.Add(sent+delay))
		return sentAt.Sub(start.Add(sent)), x.Lateness
	}
	const ahead = time.Hour // of the sender's clock
	if lateness, correction := receive(0, ms(40), ahead); lateness != ms(40) || correction != 0 {
		t.Errorf("first message: %v late, corrected by %v", lateness, correction)
	}
	if lateness, correction := receive(ms(250), ms(2), ahead+ms(250)); lateness != ms(2) || correction != ms(38) {
		t.Errorf("faster message: %v late, corrected by %v", lateness, correction)
	}
	if lateness, correction := receive(ms(500), ms(300), ahead+ms(500)); lateness != ms(2) || correction != 0 {
		t.Errorf("slow message: %v late, corrected by %v", lateness, correction)
	}
	// The sender's clock loses 50 µs a second.
	for n := 1; n <= 600; n++ {
		sent := time.Duration(n) * time.Second
		lateness, _ := receive(sent, ms(2+n%3), ahead+sent-sent*50/1e6)
		if lateness < -maxAgeSkew || lateness > maxAgeSkew {
			t.Fatalf("at %v: %v late", sent, lateness)
		}
	}
	// The sender is suspended for 5 s.
	if lateness, _ := receive(700*time.Second, ms(1), ahead+695*time.Second); lateness != ms(1) {
		t.Errorf("after a suspension: %v late", lateness)
	}
}
