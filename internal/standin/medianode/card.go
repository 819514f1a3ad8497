package medianode

import "bytes"

// The stand-in's pictures: H.264 (ITU-T H.264) Constrained Baseline, CAVLC, written by hand so that decoders accept
// them. A segment is an IDR picture of a test card, with the rung's number in large digits and a mark that moves
// from segment to segment, and pictures that repeat it, P slices of skipped macroblocks (7.3.4). Filler data NAL
// units (7.3.2.7) make the bytes that the rate asks for. Each macroblock of the card has one colour: it is copied
// from a neighbour of that colour by intra prediction (8.3.3), and only where there is none it is I_PCM (7.3.5.1).
// I_PCM throughout would be 92 kB for the smallest card, more than its rung gives for a segment.

const (
	cardFPS    = 10
	avcProfile = 0x42
	avcCompat  = 0xc0
	avcLevel   = 31 // 1280x720
)

// bits writes a raw byte sequence payload.
type bits struct {
	b []byte
	n uint // bits used of the last byte
}

func (w *bits) put(v uint32, n uint) {
	for i := n; i > 0; i-- {
		if w.n == 0 {
			w.b = append(w.b, 0)
		}
		w.b[len(w.b)-1] |= byte(v>>(i-1)&1) << (7 - w.n)
		w.n = (w.n + 1) % 8
	}
}

// ue is an Exp-Golomb code (9.1).
func (w *bits) ue(v uint32) {
	n := uint(0)
	for (v+1)>>n > 1 {
		n++
	}
	w.put(0, n)
	w.put(v+1, n+1)
}

func (w *bits) align() { w.n = 0 }

// nal ends the payload and makes a NAL unit of it, with emulation prevention (7.4.1.1).
func (w *bits) nal(head byte) []byte {
	w.put(1, 1)
	out, zeros := []byte{head}, 0
	for _, c := range w.b {
		if zeros >= 2 && c <= 3 {
			out, zeros = append(out, 3), 0
		}
		out = append(out, c)
		if zeros++; c != 0 {
			zeros = 0
		}
	}
	return out
}

func sps(width, height int) []byte {
	var w bits
	w.put(avcProfile, 8)
	w.put(avcCompat, 8)
	w.put(avcLevel, 8)
	w.ue(0) // its id
	w.ue(0) // frame_num of 4 bits
	w.ue(2) // output order is decoding order
	w.ue(1) // reference frames
	w.put(0, 1)
	cols, rows := (width+15)/16, (height+15)/16
	w.ue(uint32(cols - 1))
	w.ue(uint32(rows - 1))
	w.put(3, 2) // frames only, direct_8x8_inference
	if right, bottom := cols*16-width, rows*16-height; right+bottom > 0 {
		w.put(1, 1)
		w.ue(0)
		w.ue(uint32(right / 2))
		w.ue(0)
		w.ue(uint32(bottom / 2))
	} else {
		w.put(0, 1)
	}
	w.put(0, 1) // no VUI
	return w.nal(0x67)
}

func pps() []byte {
	var w bits
	w.ue(0)
	w.ue(0)
	w.put(0, 2) // CAVLC, no bottom field order
	w.ue(0)     // one slice group
	w.ue(0)
	w.ue(0)
	w.put(0, 3) // no weighted prediction
	w.ue(0)
	w.ue(0)
	w.ue(0)
	w.put(4, 3) // the deblocking filter is said in slices
	return w.nal(0x68)
}

// color is one macroblock's: Y, Cb, Cr.
type color [3]byte

var (
	cardInk  = color{235, 128, 128}
	cardMark = color{180, 60, 160}
	cardBack = []color{{70, 160, 90}, {90, 90, 110}, {60, 110, 160}, {110, 150, 150}}
)

// digits are 3 by 5, a row in three bits.
var digits = [10][5]byte{{7, 5, 5, 5, 7}, {2, 6, 2, 2, 7}, {7, 1, 7, 4, 7}, {7, 1, 7, 1, 7}, {5, 5, 7, 1, 1}, {7, 4, 7, 1, 7},
	{7, 4, 7, 5, 7}, {7, 1, 2, 2, 2}, {7, 5, 7, 5, 7}, {7, 5, 7, 1, 7}}

// card is the picture's macroblocks, row by row.
func card(cols, rows, rung, number int) []color {
	c := make([]color, cols*rows)
	for i := range c {
		c[i] = cardBack[rung%len(cardBack)]
	}
	scale := max(min((rows-2)/5, cols/3), 1)
	for y := range min(5*scale, rows) {
		for x := range min(3*scale, cols) {
			if digits[rung%10][y/scale]>>(2-x/scale)&1 == 1 {
				c[(y+(rows-5*scale)/2)*cols+x+(cols-3*scale)/2] = cardInk
			}
		}
	}
	c[(rows-1)*cols+number%cols] = cardMark
	return c
}

// idr is the IDR picture of a card.
func idr(width, height, rung, number int) []byte {
	var w bits
	w.ue(0) // first macroblock
	w.ue(7) // I slices only
	w.ue(0)
	w.put(0, 4)              // frame_num
	w.ue(uint32(number & 1)) // idr_pic_id
	w.put(0, 2)              // output what came before; a short-term reference
	w.ue(0)                  // slice_qp_delta
	w.ue(1)                  // no deblocking
	cols, rows := (width+15)/16, (height+15)/16
	c := card(cols, rows, rung, number)
	pcm := make([]bool, len(c))
	for i := range c {
		x, y := i%cols, i/cols
		left, above := x > 0 && c[i-1] == c[i], y > 0 && c[i-cols] == c[i]
		switch {
		case above:
			w.ue(1) // I_16x16, vertical, no coefficients
			w.ue(2)
		case left:
			w.ue(2) // I_16x16, horizontal
			w.ue(1)
		default:
			pcm[i] = true
			w.ue(25) // I_PCM
			w.align()
			w.b = append(w.b, bytes.Repeat([]byte{c[i][0]}, 256)...)
			w.b = append(w.b, bytes.Repeat([]byte{c[i][1]}, 64)...)
			w.b = append(w.b, bytes.Repeat([]byte{c[i][2]}, 64)...)
			continue
		}
		w.ue(0) // mb_qp_delta
		// No coefficients: the code depends on the neighbours' (9.2.1), and I_PCM counts as 16.
		if x > 0 && pcm[i-1] || y > 0 && pcm[i-cols] {
			w.put(3, 6)
		} else {
			w.put(1, 1)
		}
	}
	return w.nal(0x65)
}

// again repeats the picture before it; n is its number after the IDR picture.
func again(width, height, n int) []byte {
	var w bits
	w.ue(0)
	w.ue(5) // P slices only
	w.ue(0)
	w.put(uint32(n%16), 4)
	w.put(0, 3) // one reference, in its order; no marking
	w.ue(0)
	w.ue(1)
	w.ue(uint32((width + 15) / 16 * ((height + 15) / 16))) // all skipped
	return w.nal(0x41)
}

// samples are the pictures of a segment, each with the length before its NAL units (ISO/IEC 14496-15), with filler
// up to size bytes in all where they are less.
func samples(width, height, rung, number, count, size int) [][]byte {
	out, total := make([][]byte, count), 0
	for i := range out {
		unit := again(width, height, i)
		if i == 0 {
			unit = idr(width, height, rung, number)
		}
		out[i] = append(u32(uint32(len(unit))), unit...)
		total += len(out[i])
	}
	for i := range out { // what is missing, spread evenly over what follows; a filler unit is 6 bytes at least
		fill := max(size/count-len(out[i]), 0)
		if i == count-1 {
			fill = size - total
		}
		if fill = min(fill, size-total); fill < 6 || i < count-1 && size-total-fill < 6 {
			continue
		}
		out[i] = append(append(out[i], u32(uint32(fill-4))...), 0x0c)
		out[i] = append(append(out[i], bytes.Repeat([]byte{0xff}, fill-6)...), 0x80)
		total += fill
	}
	return out
}
