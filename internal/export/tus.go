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
// receiver recognises one that is sent twice because the receiver's response was lost.
type Tus struct {
	URL       string // address for new uploads
	Client    *http.Client
	ChunkSize int    // most bytes in one PATCH; 0 is no limit
	Token     string // bearer token, empty for none
}

const (
	tusVersion = "1.0.0"
	// tusMaxAttempts is how often one Send tries to complete an upload, the first attempt included.
	tusMaxAttempts = 4
	// tusMaxDiscardBytes is how many bytes of a response body are read so that the connection can be used again.
	tusMaxDiscardBytes = 4 << 10
)

// Close does nothing.
func (t *Tus) Close() error { return nil }

// request returns a request with the headers that all requests have.
func (t *Tus) request(ctx context.Context, method, to string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, to, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Tus-Resumable", tusVersion)
	if t.Token != "" {
		req.Header.Set("Authorization", "Bearer "+t.Token)
	}
	return req, nil
}

// roundTrip sends a request and returns the response, whose body is discarded.
func (t *Tus) roundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Client.Do(req)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, tusMaxDiscardBytes)) // lets the connection be used again
	return resp, resp.Body.Close()
}

// Prepare creates an upload and returns its address.
func (t *Tus) Prepare(ctx context.Context, d *cdr.Delivery) (string, error) {
	req, err := t.request(ctx, http.MethodPost, t.URL, nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Upload-Length", strconv.Itoa(d.Bytes))
	req.Header.Set("Upload-Metadata", metadata(d))
	resp, err := t.roundTrip(req)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusCreated {
		return "", fmt.Errorf("creating upload: unexpected status %s", resp.Status)
	}
	location, err := req.URL.Parse(resp.Header.Get("Location"))
	if err != nil || resp.Header.Get("Location") == "" {
		return "", fmt.Errorf("creating upload: invalid Location %q", resp.Header.Get("Location"))
	}
	if location.Host != req.URL.Host || location.Scheme != req.URL.Scheme {
		return "", fmt.Errorf("creating upload: Location is on another host, %s", location.Host)
	}
	return location.String(), nil
}

// metadata returns the Upload-Metadata header of a batch.
func metadata(d *cdr.Delivery) string {
	var parts []string
	for _, kv := range [][2]string{{"filename", d.File}, {"batch", strconv.FormatUint(d.Batch, 10)},
		{"router", strconv.FormatUint(uint64(d.Router), 10)}, {"count", strconv.Itoa(d.Count)}, {"first", d.FirstID},
		{"last", d.LastID}, {"sha256", d.SHA256}} {
		parts = append(parts, kv[0]+" "+base64.StdEncoding.EncodeToString([]byte(kv[1])))
	}
	return strings.Join(parts, ",")
}

// offset returns how many bytes of an upload the receiver has.
func (t *Tus) offset(ctx context.Context, d *cdr.Delivery) (int, error) {
	req, err := t.request(ctx, http.MethodHead, d.Location, nil)
	if err != nil {
		return 0, err
	}
	resp, err := t.roundTrip(req)
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusNotFound, http.StatusGone, http.StatusForbidden: // tus 1.0.0: the upload does not exist
		return 0, ErrUnknownUpload
	default:
		return 0, fmt.Errorf("reading upload offset: unexpected status %s", resp.Status)
	}
	return parseOffset(resp, d.Bytes)
}

// parseOffset returns the Upload-Offset of a response, which must be from 0 to limit.
func parseOffset(resp *http.Response, limit int) (int, error) {
	n, err := strconv.Atoi(resp.Header.Get("Upload-Offset"))
	if err != nil || n < 0 || n > limit {
		return 0, fmt.Errorf("invalid Upload-Offset %q for an upload of %d bytes", resp.Header.Get("Upload-Offset"), limit)
	}
	return n, nil
}

// Send sends the bytes that the receiver does not have yet according to its Upload-Offset.
func (t *Tus) Send(ctx context.Context, d *cdr.Delivery, content []byte) error {
	if _, err := url.Parse(d.Location); err != nil {
		return ErrUnknownUpload
	}
	var lastErr error
	for range tusMaxAttempts {
		at, err := t.offset(ctx, d)
		if err != nil {
			if errors.Is(err, ErrUnknownUpload) || ctx.Err() != nil {
				return err
			}
			lastErr = err
			continue
		}
		for at < len(content) && err == nil {
			at, err = t.patch(ctx, d, content, at)
		}
		switch {
		case err == nil && at == len(content):
			return nil
		case errors.Is(err, ErrUnknownUpload), ctx.Err() != nil:
			return err
		}
		lastErr = err
	}
	return fmt.Errorf("upload incomplete after %d attempts: %w", tusMaxAttempts, lastErr)
}

// patch sends one chunk from an offset on and returns the receiver's new offset.
func (t *Tus) patch(ctx context.Context, d *cdr.Delivery, content []byte, at int) (int, error) {
	end := len(content)
	if t.ChunkSize > 0 {
		end = min(end, at+t.ChunkSize)
	}
	req, err := t.request(ctx, http.MethodPatch, d.Location, bytes.NewReader(content[at:end]))
	if err != nil {
		return at, err
	}
	req.Header.Set("Content-Type", "application/offset+octet-stream")
	req.Header.Set("Upload-Offset", strconv.Itoa(at))
	resp, err := t.roundTrip(req)
	if err != nil {
		return at, err
	}
	switch resp.StatusCode {
	case http.StatusNoContent, http.StatusOK:
		newOffset, err := parseOffset(resp, len(content))
		if err == nil && newOffset <= at {
			err = fmt.Errorf("receiver accepted none of the %d bytes sent: its offset is still %d", end-at, newOffset)
		}
		return newOffset, err
	case http.StatusNotFound, http.StatusGone:
		return at, ErrUnknownUpload
	}
	return at, fmt.Errorf("uploading from offset %d: unexpected status %s", at, resp.Status)
}

// NewTus returns a target that uploads to an address in chunks of at most chunkSize bytes; 0 is no limit. timeout applies to
// each request.
func NewTus(to, token string, chunkSize int, timeout time.Duration) *Tus {
	return &Tus{URL: to, Token: token, ChunkSize: chunkSize, Client: &http.Client{Timeout: timeout,
		// A redirect would send records to another receiver than the configured one.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}
