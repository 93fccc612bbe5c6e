package export

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pipitring/internal/cdr"
)

// Tus sends batches to a receiver by tus 1.0.0 with its creation extension: POST makes an upload, HEAD tells how much
// of it is there, PATCH adds from there on. The upload's metadata name the batch, by which a receiver that was sent
// one twice, since its own answer was lost, knows it again.
type Tus struct {
	URL       string // where uploads are made
	Client    *http.Client
	ChunkSize int // bytes of one PATCH; 0 is all that is left
	Token     string
}

const (
	tusVersion = "1.0.0"
	tusTries   = 4 // resumptions of one upload within one Send
	tusBody    = 4 << 10
)

// Close has nothing to do.
func (t *Tus) Close() error { return nil }

func (t *Tus) request(ctx context.Context, method, to string, body io.Reader) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, method, to, body)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Tus-Resumable", tusVersion)
	if t.Token != "" {
		q.Header.Set("Authorization", "Bearer "+t.Token)
	}
	return q, nil
}

// do sends a request and takes the answer, whose body is of no use.
func (t *Tus) do(q *http.Request) (*http.Response, error) {
	resp, err := t.Client.Do(q)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, tusBody)) // so that the connection can be used again
	return resp, resp.Body.Close()
}

// Prepare makes an upload.
func (t *Tus) Prepare(ctx context.Context, s *cdr.Delivery) (string, error) {
	q, err := t.request(ctx, http.MethodPost, t.URL, nil)
	if err != nil {
		return "", err
	}
	q.Header.Set("Upload-Length", strconv.Itoa(s.Bytes))
	q.Header.Set("Upload-Metadata", metadata(s))
	resp, err := t.do(q)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusCreated {
		return "", fmt.Errorf("making the upload: %s", resp.Status)
	}
	where, err := q.URL.Parse(resp.Header.Get("Location"))
	if err != nil || resp.Header.Get("Location") == "" {
		return "", fmt.Errorf("making the upload: Location %q is no address", resp.Header.Get("Location"))
	}
	if where.Host != q.URL.Host || where.Scheme != q.URL.Scheme {
		return "", fmt.Errorf("making the upload: it would go to another host, %s", where.Host)
	}
	return where.String(), nil
}

func metadata(s *cdr.Delivery) string {
	var parts []string
	for _, kv := range [][2]string{{"filename", s.File}, {"batch", strconv.FormatUint(s.Batch, 10)},
		{"router", strconv.FormatUint(uint64(s.Router), 10)}, {"count", strconv.Itoa(s.Count)}, {"first", s.FirstID},
		{"last", s.LastID}, {"sha256", s.SHA256}} {
		parts = append(parts, kv[0]+" "+base64.StdEncoding.EncodeToString([]byte(kv[1])))
	}
	return strings.Join(parts, ",")
}

// offset asks how much of an upload is there.
func (t *Tus) offset(ctx context.Context, s *cdr.Delivery) (int, error) {
	q, err := t.request(ctx, http.MethodHead, s.Location, nil)
	if err != nil {
		return 0, err
	}
	resp, err := t.do(q)
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusNotFound, http.StatusGone, http.StatusForbidden:
		return 0, ErrUnknownUpload
	default:
		return 0, fmt.Errorf("asking for the offset: %s", resp.Status)
	}
	return offsetOf(resp, s.Bytes)
}

func offsetOf(resp *http.Response, most int) (int, error) {
	n, err := strconv.Atoi(resp.Header.Get("Upload-Offset"))
	if err != nil || n < 0 || n > most {
		return 0, fmt.Errorf("Upload-Offset %q is no place in %d bytes", resp.Header.Get("Upload-Offset"), most)
	}
	return n, nil
}

// Send brings over what the receiver does not have yet; how much that is, it says itself.
func (t *Tus) Send(ctx context.Context, s *cdr.Delivery, content []byte) error {
	if _, err := url.Parse(s.Location); err != nil {
		return ErrUnknownUpload
	}
	var last error
	for range tusTries {
		at, err := t.offset(ctx, s)
		if err != nil {
			if errors.Is(err, ErrUnknownUpload) || ctx.Err() != nil {
				return err
			}
			last = err
			continue
		}
		for at < len(content) && err == nil {
			at, err = t.patch(ctx, s, content, at)
		}
		switch {
		case err == nil && at == len(content):
			return nil
		case errors.Is(err, ErrUnknownUpload), ctx.Err() != nil:
			return err
		}
		last = err
	}
	return fmt.Errorf("after %d resumptions: %w", tusTries, last)
}

func (t *Tus) patch(ctx context.Context, s *cdr.Delivery, content []byte, at int) (int, error) {
	end := len(content)
	if t.ChunkSize > 0 {
		end = min(end, at+t.ChunkSize)
	}
	q, err := t.request(ctx, http.MethodPatch, s.Location, bytes.NewReader(content[at:end]))
	if err != nil {
		return at, err
	}
	q.Header.Set("Content-Type", "application/offset+octet-stream")
	q.Header.Set("Upload-Offset", strconv.Itoa(at))
	resp, err := t.do(q)
	if err != nil {
		return at, err
	}
	switch resp.StatusCode {
	case http.StatusNoContent, http.StatusOK:
		got, err := offsetOf(resp, len(content))
		if err == nil && got <= at {
			err = fmt.Errorf("sent %d bytes, and it stays at %d", end-at, got)
		}
		return got, err
	case http.StatusNotFound, http.StatusGone:
		return at, ErrUnknownUpload
	}
	return at, fmt.Errorf("sending from %d on: %s", at, resp.Status)
}

// NewTus returns a sender to a receiver; each request may take so long.
func NewTus(to, token string, part int, limit time.Duration) *Tus {
	return &Tus{URL: to, Token: token, ChunkSize: part, Client: &http.Client{Timeout: limit,
		// An upload that is sent elsewhere would leave the receiver that was named.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}
