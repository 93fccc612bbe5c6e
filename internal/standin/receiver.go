package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReceiverFaults are faults that a Receiver injects. Cuts, LoseAnswers, LoseCreated and Refuse are numbers of
// requests; each is decremented when a fault is injected.
type ReceiverFaults struct {
	CutAfter    int // bytes of a PATCH that are stored before its connection is cut
	Cuts        int // number of PATCH requests to cut
	LoseAnswers int // PATCH requests that are stored but not answered
	LoseCreated int // POST requests that create an upload but are not answered
	Delay       time.Duration
	Refuse      int // requests to answer with 503
}

// Receiver simulates a receiver of exported files: tus 1.0.0 with the creation extension. It identifies batches
// by their metadata and stores each once.
type Receiver struct {
	srv *http.Server
	ln  net.Listener
	wg  sync.WaitGroup

	mu         sync.Mutex
	faults     ReceiverFaults
	uploads    map[string]*upload
	created    int
	batches    map[string]Batch // complete batches, by router and batch
	duplicates int              // repeats of complete batches
	violations []string
}

// upload is an upload that has been created.
type upload struct {
	length int
	meta   map[string]string
	data   []byte
}

// Batch is a complete batch.
type Batch struct {
	Meta map[string]string
	Data []byte
}

// NewReceiver starts a receiver.
func NewReceiver() (*Receiver, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Receiver{ln: ln, uploads: map[string]*upload{}, batches: map[string]Batch{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /files", r.create)
	mux.HandleFunc("HEAD /files/{id}", r.head)
	mux.HandleFunc("PATCH /files/{id}", r.patch)
	r.srv = &http.Server{Handler: r.withFaults(mux), ReadHeaderTimeout: 5 * time.Second}
	r.wg.Go(func() { _ = r.srv.Serve(ln) }) // ends with Close
	return r, nil
}

// URL returns the URL at which uploads are created.
func (r *Receiver) URL() string { return fmt.Sprintf("http://%v/files", r.ln.Addr()) }

// Close stops the receiver.
func (r *Receiver) Close() {
	_ = r.srv.Close()
	r.wg.Wait()
}

// SetFaults sets the injected faults.
func (r *Receiver) SetFaults(f ReceiverFaults) {
	r.mu.Lock()
	r.faults = f
	r.mu.Unlock()
}

// DropUploads discards all uploads, but no complete batches.
func (r *Receiver) DropUploads() {
	r.mu.Lock()
	clear(r.uploads)
	r.mu.Unlock()
}

// Batches returns the complete batches, the number of repeats of complete batches, and the protocol violations
// found.
func (r *Receiver) Batches() (batches map[string]Batch, duplicates int, violations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batches = map[string]Batch{}
	for k, v := range r.batches {
		batches[k] = v
	}
	return batches, r.duplicates, append([]string(nil), r.violations...)
}

// withFaults wraps a handler with the injected faults and checks the protocol version.
func (r *Receiver) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		delay, refuse := r.faults.Delay, r.faults.Refuse > 0
		if refuse {
			r.faults.Refuse--
		}
		r.mu.Unlock()
		if delay > 0 {
			t := time.NewTimer(delay)
			defer t.Stop()
			select {
			case <-t.C:
			case <-req.Context().Done():
			}
		}
		w.Header().Set("Tus-Resumable", "1.0.0")
		switch {
		case refuse:
			http.Error(w, "not now", http.StatusServiceUnavailable)
		case req.Header.Get("Tus-Resumable") != "1.0.0":
			r.addViolation("no Tus-Resumable: 1.0.0")
			http.Error(w, "version", http.StatusPreconditionFailed)
		default:
			next.ServeHTTP(w, req)
		}
	})
}

// addViolation records a protocol violation of the sender.
func (r *Receiver) addViolation(format string, args ...any) {
	r.mu.Lock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

// create handles POST: it creates an upload.
func (r *Receiver) create(w http.ResponseWriter, req *http.Request) {
	length, err := strconv.Atoi(req.Header.Get("Upload-Length"))
	if err != nil || length < 0 {
		r.addViolation("Upload-Length %q", req.Header.Get("Upload-Length"))
		http.Error(w, "Upload-Length", http.StatusBadRequest)
		return
	}
	meta := map[string]string{}
	for part := range strings.SplitSeq(req.Header.Get("Upload-Metadata"), ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), " ")
		text, err := base64.StdEncoding.DecodeString(value)
		if err != nil || key == "" {
			r.addViolation("Upload-Metadata %q", part)
		}
		meta[key] = string(text)
	}
	r.mu.Lock()
	r.created++
	id := fmt.Sprintf("u%d", r.created)
	r.uploads[id] = &upload{length: length, meta: meta}
	lose := r.faults.LoseCreated > 0
	if lose {
		r.faults.LoseCreated--
	}
	r.mu.Unlock()
	if lose {
		hangUp(w)
		return
	}
	w.Header().Set("Location", "/files/"+id)
	w.WriteHeader(http.StatusCreated)
}

// hangUp closes the connection without a response.
func hangUp(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// findUpload returns the upload of a request, or answers 404 and returns nil.
func (r *Receiver) findUpload(w http.ResponseWriter, req *http.Request) *upload {
	u := r.uploads[req.PathValue("id")]
	if u == nil {
		w.WriteHeader(http.StatusNotFound)
	}
	return u
}

// head handles HEAD: it returns the offset of an upload.
func (r *Receiver) head(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.findUpload(w, req); u != nil {
		w.Header().Set("Upload-Offset", strconv.Itoa(len(u.data)))
		w.Header().Set("Upload-Length", strconv.Itoa(u.length))
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusOK)
	}
}

// patch handles PATCH: it appends to an upload.
func (r *Receiver) patch(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	cut := -1
	if r.faults.Cuts > 0 {
		r.faults.Cuts--
		cut = r.faults.CutAfter
	}
	r.mu.Unlock()
	body, _ := io.ReadAll(req.Body) // a partial body is stored as far as it was received
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.findUpload(w, req)
	if u == nil {
		return
	}
	at, err := strconv.Atoi(req.Header.Get("Upload-Offset"))
	switch {
	case req.Header.Get("Content-Type") != "application/offset+octet-stream":
		r.violations = append(r.violations, "Content-Type "+req.Header.Get("Content-Type"))
		w.WriteHeader(http.StatusUnsupportedMediaType)
		return
	case err != nil || at != len(u.data):
		w.WriteHeader(http.StatusConflict)
		return
	case at+len(body) > u.length:
		r.violations = append(r.violations, "PATCH exceeds the upload's length")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if cut >= 0 && cut < len(body) {
		u.data = append(u.data, body[:cut]...)
		hangUp(w)
		return
	}
	u.data = append(u.data, body...)
	if len(u.data) == u.length {
		r.complete(u)
	}
	if r.faults.LoseAnswers > 0 {
		r.faults.LoseAnswers--
		hangUp(w)
		return
	}
	w.Header().Set("Upload-Offset", strconv.Itoa(len(u.data)))
	w.WriteHeader(http.StatusNoContent)
}

// complete stores a complete batch, unless the same batch is stored already.
func (r *Receiver) complete(u *upload) {
	sum := sha256.Sum256(u.data)
	if hex.EncodeToString(sum[:]) != u.meta["sha256"] {
		r.violations = append(r.violations, "checksum mismatch of "+u.meta["filename"])
		return
	}
	key := u.meta["router"] + "/" + u.meta["batch"]
	if stored, ok := r.batches[key]; ok {
		r.duplicates++
		if stored.Meta["sha256"] != u.meta["sha256"] {
			r.violations = append(r.violations, "conflicting contents of batch "+key)
		}
		return
	}
	r.batches[key] = Batch{u.meta, u.data}
}
