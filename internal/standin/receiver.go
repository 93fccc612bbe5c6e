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

// ReceiverFaults are how a Receiver misbehaves; each counts down to 0 as it is used.
type ReceiverFaults struct {
	CutAfter    int // the next PATCH is cut off after this many bytes, which are kept
	Cuts        int // this many times
	LoseAnswers int // answers to PATCH that are lost after its bytes were kept
	LoseCreated int // answers to POST that are lost after the upload was made
	Delay       time.Duration
	Refuse      int // requests answered with 503
}

// Receiver stands in for a receiver of exported files: tus 1.0.0 with the creation extension. A batch that it holds is
// taken once; the same batch again, by its metadata, changes nothing.
type Receiver struct {
	srv *http.Server
	ln  net.Listener
	wg  sync.WaitGroup

	mu      sync.Mutex
	faults  ReceiverFaults
	uploads map[string]*upload
	made    int
	batches map[string]Batch // complete ones, by router and batch
	again   int              // batches that came complete more than once
	bad     []string
}

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
	mux.HandleFunc("HEAD /files/{id}", r.offset)
	mux.HandleFunc("PATCH /files/{id}", r.patch)
	r.srv = &http.Server{Handler: r.around(mux), ReadHeaderTimeout: 5 * time.Second}
	r.wg.Go(func() { _ = r.srv.Serve(ln) }) // ends with Close
	return r, nil
}

// URL is where uploads are made.
func (r *Receiver) URL() string { return fmt.Sprintf("http://%v/files", r.ln.Addr()) }

// Close ends the receiver.
func (r *Receiver) Close() {
	_ = r.srv.Close()
	r.wg.Wait()
}

// Set sets its faults.
func (r *Receiver) Set(f ReceiverFaults) {
	r.mu.Lock()
	r.faults = f
	r.mu.Unlock()
}

// DropUploads loses all uploads, complete or not; what was taken stays taken.
func (r *Receiver) DropUploads() {
	r.mu.Lock()
	clear(r.uploads)
	r.mu.Unlock()
}

// Batches are the complete ones, Again how often a complete one came once more, Bad what broke the protocol.
func (r *Receiver) Batches() (got map[string]Batch, again int, bad []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	got = map[string]Batch{}
	for k, v := range r.batches {
		got[k] = v
	}
	return got, r.again, append([]string(nil), r.bad...)
}

func (r *Receiver) around(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		late, refuse := r.faults.Delay, r.faults.Refuse > 0
		if refuse {
			r.faults.Refuse--
		}
		r.mu.Unlock()
		if late > 0 {
			t := time.NewTimer(late)
			defer t.Stop()
			select {
			case <-t.C:
			case <-q.Context().Done():
			}
		}
		w.Header().Set("Tus-Resumable", "1.0.0")
		switch {
		case refuse:
			http.Error(w, "not now", http.StatusServiceUnavailable)
		case q.Header.Get("Tus-Resumable") != "1.0.0":
			r.complain("no Tus-Resumable: 1.0.0")
			http.Error(w, "version", http.StatusPreconditionFailed)
		default:
			next.ServeHTTP(w, q)
		}
	})
}

func (r *Receiver) complain(format string, args ...any) {
	r.mu.Lock()
	r.bad = append(r.bad, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

func (r *Receiver) create(w http.ResponseWriter, q *http.Request) {
	length, err := strconv.Atoi(q.Header.Get("Upload-Length"))
	if err != nil || length < 0 {
		r.complain("Upload-Length %q", q.Header.Get("Upload-Length"))
		http.Error(w, "Upload-Length", http.StatusBadRequest)
		return
	}
	meta := map[string]string{}
	for part := range strings.SplitSeq(q.Header.Get("Upload-Metadata"), ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), " ")
		text, err := base64.StdEncoding.DecodeString(value)
		if err != nil || key == "" {
			r.complain("Upload-Metadata %q", part)
		}
		meta[key] = string(text)
	}
	r.mu.Lock()
	r.made++
	id := fmt.Sprintf("u%d", r.made)
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

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

func (r *Receiver) find(w http.ResponseWriter, q *http.Request) *upload {
	u := r.uploads[q.PathValue("id")]
	if u == nil {
		w.WriteHeader(http.StatusNotFound)
	}
	return u
}

func (r *Receiver) offset(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.find(w, q); u != nil {
		w.Header().Set("Upload-Offset", strconv.Itoa(len(u.data)))
		w.Header().Set("Upload-Length", strconv.Itoa(u.length))
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusOK)
	}
}

func (r *Receiver) patch(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	cut := -1
	if r.faults.Cuts > 0 {
		r.faults.Cuts--
		cut = r.faults.CutAfter
	}
	r.mu.Unlock()
	body, _ := io.ReadAll(q.Body) // a part is kept as far as it came
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.find(w, q)
	if u == nil {
		return
	}
	at, err := strconv.Atoi(q.Header.Get("Upload-Offset"))
	switch {
	case q.Header.Get("Content-Type") != "application/offset+octet-stream":
		r.bad = append(r.bad, "Content-Type "+q.Header.Get("Content-Type"))
		w.WriteHeader(http.StatusUnsupportedMediaType)
		return
	case err != nil || at != len(u.data):
		w.WriteHeader(http.StatusConflict)
		return
	case at+len(body) > u.length:
		r.bad = append(r.bad, "more than the upload's length")
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

// complete takes a whole batch, once.
func (r *Receiver) complete(u *upload) {
	sum := sha256.Sum256(u.data)
	if hex.EncodeToString(sum[:]) != u.meta["sha256"] {
		r.bad = append(r.bad, "checksum of "+u.meta["filename"])
		return
	}
	key := u.meta["router"] + "/" + u.meta["batch"]
	if had, ok := r.batches[key]; ok {
		r.again++
		if had.Meta["sha256"] != u.meta["sha256"] {
			r.bad = append(r.bad, "two contents of batch "+key)
		}
		return
	}
	r.batches[key] = Batch{u.meta, u.data}
}
