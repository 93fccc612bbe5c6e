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

// Tus is a target that uploads batches with tus 1.0.0 and its creation extension: POST creates an upload, HEAD returns
// how much of it has arrived, PATCH appends from there on. The metadata of an upload identify the batch, so that the
// receiver recognises one that is sent twice because its own answer was lost.
type Tus struct {
	URL       string // address for new uploads
	Client    *http.Client
	ChunkSize int    // most bytes in one PATCH; 0 is no limit
	Token     string // bearer token, empty for none
}

const (
	tusVersion = "1.0.0"
	// tusMaxResumptions is how often one Send resumes an upload.
	tusMaxResumptions = 4
	// tusMaxDrain is how many bytes of an answer's body are read so that its connection can be used again.
	tusMaxDrain = 4 << 10
)

// Close does nothing.
func (t *Tus) Close() error { return nil }

// request returns a request with the headers that all requests have.
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

// roundTrip sends a request and returns the answer, whose body is discarded.
func (t *Tus) roundTrip(q *http.Request) (*http.Response, error) {
	resp, err := t.Client.Do(q)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, tusMaxDrain)) // so that the connection can be used again
	return resp, resp.Body.Close()
}

// Prepare creates an upload and returns its address.
func (t *Tus) Prepare(ctx context.Context, s *cdr.Delivery) (string, error) {
	q, err := t.request(ctx, http.MethodPost, t.URL, nil)
	if err != nil {
		return "", err
	}
	q.Header.Set("Upload-Length", strconv.Itoa(s.Bytes))
	q.Header.Set("Upload-Metadata", metadata(s))
	resp, err := t.roundTrip(q)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusCreated {
		return "", fmt.Errorf("creating upload: unexpected status %s", resp.Status)
	}
	location, err := q.URL.Parse(resp.Header.Get("Location"))
	if err != nil || resp.Header.Get("Location") == "" {
		return "", fmt.Errorf("creating upload: invalid Location %q", resp.Header.Get("Location"))
	}
	if location.Host != q.URL.Host || location.Scheme != q.URL.Scheme {
		return "", fmt.Errorf("creating upload: Location is on another host, %s", location.Host)
	}
	return location.String(), nil
}

// metadata returns the Upload-Metadata header of a batch.
func metadata(s *cdr.Delivery) string {
	var parts []string
	for _, kv := range [][2]string{{"filename", s.File}, {"batch", strconv.FormatUint(s.Batch, 10)},
		{"router", strconv.FormatUint(uint64(s.Router), 10)}, {"count", strconv.Itoa(s.Count)}, {"first", s.FirstID},
		{"last", s.LastID}, {"sha256", s.SHA256}} {
		parts = append(parts, kv[0]+" "+base64.StdEncoding.EncodeToString([]byte(kv[1])))
	}
	return strings.Join(parts, ",")
}

// offset returns how many bytes of an upload the receiver has.
func (t *Tus) offset(ctx context.Context, s *cdr.Delivery) (int, error) {
	q, err := t.request(ctx, http.MethodHead, s.Location, nil)
	if err != nil {
		return 0, err
	}
	resp, err := t.roundTrip(q)
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusNotFound, http.StatusGone, http.StatusForbidden:
		return 0, ErrUnknownUpload
	default:
		return 0, fmt.Errorf("reading upload offset: unexpected status %s", resp.Status)
	}
	return parseOffset(resp, s.Bytes)
}

// parseOffset returns the Upload-Offset of an answer, which must be from 0 to limit.
func parseOffset(resp *http.Response, limit int) (int, error) {
	n, err := strconv.Atoi(resp.Header.Get("Upload-Offset"))
	if err != nil || n < 0 || n > limit {
		return 0, fmt.Errorf("invalid Upload-Offset %q for an upload of %d bytes", resp.Header.Get("Upload-Offset"), limit)
	}
	return n, nil
}

// Send sends the bytes that the receiver does not have yet, by its own account.
func (t *Tus) Send(ctx context.Context, s *cdr.Delivery, content []byte) error {
	if _, err := url.Parse(s.Location); err != nil {
		return ErrUnknownUpload
	}
	var last error
	for range tusMaxResumptions {
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
	return fmt.Errorf("upload incomplete after %d resumptions: %w", tusMaxResumptions, last)
}

// patch sends one chunk from an offset on and returns the receiver's new offset.
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
	resp, err := t.roundTrip(q)
	if err != nil {
		return at, err
	}
	switch resp.StatusCode {
	case http.StatusNoContent, http.StatusOK:
		got, err := parseOffset(resp, len(content))
		if err == nil && got <= at {
			err = fmt.Errorf("receiver took none of %d bytes sent: its offset is still %d", end-at, got)
		}
		return got, err
	case http.StatusNotFound, http.StatusGone:
		return at, ErrUnknownUpload
	}
	return at, fmt.Errorf("uploading from offset %d: unexpected status %s", at, resp.Status)
}

// NewTus returns a target that uploads to an address, with a time limit for each request.
func NewTus(to, token string, part int, limit time.Duration) *Tus {
	return &Tus{URL: to, Token: token, ChunkSize: part, Client: &http.Client{Timeout: limit,
		// A redirect would send records to another receiver than the configured one.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}
