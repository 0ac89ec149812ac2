package gateway

// maxChunkBytes is the capacity of the chunks of a long buffer.
const maxChunkBytes = 16 << 10

// chunkBuffer is a buffer that grows without copying what it has: a copy would take memory
// that is not accounted for.
type chunkBuffer struct {
	chunks   [][]byte
	length   int
	capacity int
}

// growth returns by how much the capacity grows with n more bytes.
func (b *chunkBuffer) growth(n int) int {
	if n <= b.room() {
		return 0
	}
	return max(n-b.room(), min(b.length, maxChunkBytes))
}

// room returns the number of bytes that fit into the last chunk.
func (b *chunkBuffer) room() int {
	if len(b.chunks) == 0 {
		return 0
	}
	last := b.chunks[len(b.chunks)-1]
	return cap(last) - len(last)
}

// write appends p, for which growth(len(p)) was accounted for.
func (b *chunkBuffer) write(p []byte) {
	grown := b.growth(len(p))
	b.length += len(p)
	if n := min(b.room(), len(p)); n > 0 {
		last := len(b.chunks) - 1
		b.chunks[last] = append(b.chunks[last], p[:n]...)
		p = p[n:]
	}
	if len(p) > 0 {
		b.chunks = append(b.chunks, append(make([]byte, 0, grown), p...))
		b.capacity += grown
	}
}

// readAt copies bytes from an offset within the buffer on.
func (b *chunkBuffer) readAt(p []byte, offset int) (n int) {
	for _, c := range b.chunks {
		if offset < len(c) {
			copied := copy(p[n:], c[offset:])
			if n += copied; n == len(p) {
				return n
			}
			offset = 0
			continue
		}
		offset -= len(c)
	}
	return n
}

// reset empties the buffer. It keeps one chunk for what follows.
func (b *chunkBuffer) reset() {
	if len(b.chunks) == 0 {
		return
	}
	last := b.chunks[len(b.chunks)-1][:0]
	*b = chunkBuffer{chunks: [][]byte{last}, capacity: cap(last)}
}

// free empties the buffer and frees its memory.
func (b *chunkBuffer) free() { *b = chunkBuffer{} }
