package workqueue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chestnutgauge/internal/workqueue"
)

func get(t *testing.T, q *workqueue.Queue) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	key, err := q.Get(ctx)
	if err != nil {
		return ""
	}
	return key
}

func TestQueue(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(t *testing.T, q *workqueue.Queue)
	}{
		{"a key added twice is processed once", func(t *testing.T, q *workqueue.Queue) {
			q.Add("a")
			q.Add("a")
			require.Equal(t, "a", get(t, q))
			q.Done("a")
			require.Empty(t, get(t, q))
		}},
		{"a key added while it is processed is processed again afterwards", func(t *testing.T, q *workqueue.Queue) {
			q.Add("a")
			require.Equal(t, "a", get(t, q))
			q.Add("a")
			require.Empty(t, get(t, q))
			q.Done("a")
			require.Equal(t, "a", get(t, q))
		}},
		{"the earliest delay applies", func(t *testing.T, q *workqueue.Queue) {
			start := time.Now()
			q.AddAfter("a", time.Minute)
			q.AddAfter("a", time.Second)
			q.AddAfter("a", 2*time.Minute)
			require.Equal(t, "a", get(t, q))
			require.Equal(t, time.Second, time.Since(start))
			q.Done("a")
			require.Empty(t, get(t, q))
		}},
		{"waiting workers are notified, and each gets a key", func(t *testing.T, q *workqueue.Queue) {
			got := make(chan string, 2)
			for range 2 {
				go func() { got <- get(t, q) }()
			}
			synctest.Wait()
			q.Add("a")
			q.Add("b")
			require.ElementsMatch(t, []string{"a", "b"}, []string{<-got, <-got})
		}},
		{"closing drops delayed keys", func(t *testing.T, q *workqueue.Queue) {
			q.AddAfter("a", time.Second)
			q.Close()
			require.Empty(t, get(t, q))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tc.do(t, workqueue.New()) })
		})
	}
}
