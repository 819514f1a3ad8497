package medianode

import "bytes"

// This file encodes the stand-in's pictures as ITU-T H.264, Constrained Baseline profile with CAVLC, in a form that
// decoders accept. Numbers in parentheses are clauses of H.264.
//
// A segment consists of an IDR picture of a test card, with the rung's number as a large digit and a marker that moves
// from segment to segment, and of pictures that repeat it: P slices of skipped macroblocks (7.3.4). Filler data NAL
// units (7.3.2.7) add the bytes that the rung's rate requires. Each macroblock of the test card has one colour: it is
// copied from a neighbour of that colour by intra prediction (8.3.3), and is coded as I_PCM (7.3.5.1) only where there
// is no such neighbour. I_PCM throughout would take 92 kB for the smallest test card, more than a segment of its rung
// has.

// Parameters of the video track.
const (
	framesPerSecond    = 10
	avcProfile         = 0x42 // Baseline
	avcConstraintFlags = 0xc0 // constraint_set0_flag and constraint_set1_flag: Constrained Baseline
	avcLevel           = 31   // level 3.1: up to 1280x720
)

// bitWriter builds a raw byte sequence payload (RBSP).
type bitWriter struct {
	data     []byte
	usedBits uint // bits used in the last byte; 0: all
}

// writeBits appends the count lowest bits of value, the highest first.
func (w *bitWriter) writeBits(value uint32, count uint) {
	for i := count; i > 0; i-- {
		if w.usedBits == 0 {
			w.data = append(w.data, 0)
		}
		w.data[len(w.data)-1] |= byte(value>>(i-1)&1) << (7 - w.usedBits)
		w.usedBits = (w.usedBits + 1) % 8
	}
}

// writeExpGolomb appends an unsigned Exp-Golomb code (9.1).
func (w *bitWriter) writeExpGolomb(value uint32) {
	zeros := uint(0)
	for (value+1)>>zeros > 1 {
		zeros++
	}
	w.writeBits(0, zeros)
	w.writeBits(value+1, zeros+1)
}

// align continues at the next byte.
func (w *bitWriter) align() { w.usedBits = 0 }

// nalUnit ends the payload and returns it as a NAL unit, with emulation prevention (7.4.1.1).
func (w *bitWriter) nalUnit(header byte) []byte {
	w.writeBits(1, 1)
	out, zeros := []byte{header}, 0
	for _, octet := range w.data {
		if zeros >= 2 && octet <= 3 {
			out, zeros = append(out, 3), 0
		}
		out = append(out, octet)
		if zeros++; octet != 0 {
			zeros = 0
		}
	}
	return out
}

// sequenceParameterSet returns the SPS NAL unit (7.3.2.1.1) for a picture size.
func sequenceParameterSet(width, height int) []byte {
	var w bitWriter
	w.writeBits(avcProfile, 8)
	w.writeBits(avcConstraintFlags, 8)
	w.writeBits(avcLevel, 8)
	w.writeExpGolomb(0) // seq_parameter_set_id
	w.writeExpGolomb(0) // frame_num of 4 bits
	w.writeExpGolomb(2) // pic_order_cnt_type: output order is decoding order
	w.writeExpGolomb(1) // max_num_ref_frames
	w.writeBits(0, 1)
	cols, rows := (width+15)/16, (height+15)/16
	w.writeExpGolomb(uint32(cols - 1))
	w.writeExpGolomb(uint32(rows - 1))
	w.writeBits(3, 2) // frames only, direct_8x8_inference
	if right, bottom := cols*16-width, rows*16-height; right+bottom > 0 {
		w.writeBits(1, 1)
		w.writeExpGolomb(0)
		w.writeExpGolomb(uint32(right / 2))
		w.writeExpGolomb(0)
		w.writeExpGolomb(uint32(bottom / 2))
	} else {
		w.writeBits(0, 1)
	}
	w.writeBits(0, 1) // no VUI
	return w.nalUnit(0x67)
}

// pictureParameterSet returns the PPS NAL unit (7.3.2.2).
func pictureParameterSet() []byte {
	var w bitWriter
	w.writeExpGolomb(0)
	w.writeExpGolomb(0)
	w.writeBits(0, 2)   // CAVLC, no bottom field order
	w.writeExpGolomb(0) // one slice group
	w.writeExpGolomb(0)
	w.writeExpGolomb(0)
	w.writeBits(0, 3) // no weighted prediction
	w.writeExpGolomb(0)
	w.writeExpGolomb(0)
	w.writeExpGolomb(0)
	w.writeBits(4, 3) // slices carry the deblocking filter's control
	return w.nalUnit(0x68)
}

// yuvColor is the colour of a macroblock: Y, Cb, Cr.
type yuvColor [3]byte

// Colours of the test card; the background depends on the rung.
var (
	digitColor       = yuvColor{235, 128, 128}
	markerColor      = yuvColor{180, 60, 160}
	backgroundColors = []yuvColor{{70, 160, 90}, {90, 90, 110}, {60, 110, 160}, {110, 150, 150}}
)

// digitGlyphs are bitmaps of the digits 0 to 9: five rows of three bits.
var digitGlyphs = [10][5]byte{{7, 5, 5, 5, 7}, {2, 6, 2, 2, 7}, {7, 1, 7, 4, 7}, {7, 1, 7, 1, 7}, {5, 5, 7, 1, 1},
	{7, 4, 7, 1, 7}, {7, 4, 7, 5, 7}, {7, 1, 2, 2, 2}, {7, 5, 7, 5, 7}, {7, 5, 7, 1, 7}}

// testCard returns the colours of the macroblocks of segment number's picture, row by row.
func testCard(cols, rows, rung, number int) []yuvColor {
	blocks := make([]yuvColor, cols*rows)
	for i := range blocks {
		blocks[i] = backgroundColors[rung%len(backgroundColors)]
	}
	scale := max(min((rows-2)/5, cols/3), 1)
	for y := range min(5*scale, rows) {
		for x := range min(3*scale, cols) {
			if digitGlyphs[rung%10][y/scale]>>(2-x/scale)&1 == 1 {
				blocks[(y+(rows-5*scale)/2)*cols+x+(cols-3*scale)/2] = digitColor
			}
		}
	}
	blocks[(rows-1)*cols+number%cols] = markerColor
	return blocks
}

// idrPicture returns the NAL unit of an IDR picture that shows the test card.
func idrPicture(width, height, rung, number int) []byte {
	var w bitWriter
	w.writeExpGolomb(0) // first_mb_in_slice
	w.writeExpGolomb(7) // I slices only
	w.writeExpGolomb(0)
	w.writeBits(0, 4)                    // frame_num
	w.writeExpGolomb(uint32(number & 1)) // idr_pic_id
	w.writeBits(0, 2)                    // no_output_of_prior_pics_flag and long_term_reference_flag off
	w.writeExpGolomb(0)                  // slice_qp_delta
	w.writeExpGolomb(1)                  // disable_deblocking_filter_idc: off
	cols, rows := (width+15)/16, (height+15)/16
	blocks := testCard(cols, rows, rung, number)
	pcm := make([]bool, len(blocks))
	for i := range blocks {
		x, y := i%cols, i/cols
		left, above := x > 0 && blocks[i-1] == blocks[i], y > 0 && blocks[i-cols] == blocks[i]
		switch {
		case above:
			w.writeExpGolomb(1) // I_16x16, vertical, no coefficients
			w.writeExpGolomb(2)
		case left:
			w.writeExpGolomb(2) // I_16x16, horizontal
			w.writeExpGolomb(1)
		default:
			pcm[i] = true
			w.writeExpGolomb(25) // I_PCM
			w.align()
			w.data = append(w.data, bytes.Repeat([]byte{blocks[i][0]}, 256)...)
			w.data = append(w.data, bytes.Repeat([]byte{blocks[i][1]}, 64)...)
			w.data = append(w.data, bytes.Repeat([]byte{blocks[i][2]}, 64)...)
			continue
		}
		w.writeExpGolomb(0) // mb_qp_delta
		// coeff_token for no coefficients: the code depends on the neighbours' number of coefficients (9.2.1), and
		// I_PCM counts as 16.
		if x > 0 && pcm[i-1] || y > 0 && pcm[i-cols] {
			w.writeBits(3, 6)
		} else {
			w.writeBits(1, 1)
		}
	}
	return w.nalUnit(0x65)
}

// repeatPicture returns a picture that repeats the one before it; number counts from the IDR picture, which is 0.
func repeatPicture(width, height, number int) []byte {
	var w bitWriter
	w.writeExpGolomb(0)
	w.writeExpGolomb(5) // P slices only
	w.writeExpGolomb(0)
	w.writeBits(uint32(number%16), 4)
	w.writeBits(0, 3) // default number and order of references; sliding window marking
	w.writeExpGolomb(0)
	w.writeExpGolomb(1)
	w.writeExpGolomb(uint32((width + 15) / 16 * ((height + 15) / 16))) // mb_skip_run: all macroblocks
	return w.nalUnit(0x41)
}

// segmentSamples returns the pictures of a segment, each NAL unit after its length (ISO/IEC 14496-15), with filler up
// to size bytes in total where the pictures take less.
func segmentSamples(width, height, rung, number, count, size int) [][]byte {
	samples, totalBytes := make([][]byte, count), 0
	for i := range samples {
		unit := repeatPicture(width, height, i)
		if i == 0 {
			unit = idrPicture(width, height, rung, number)
		}
		samples[i] = append(uint32Bytes(uint32(len(unit))), unit...)
		totalBytes += len(samples[i])
	}
	// The filler is spread evenly over the samples; a filler NAL unit takes at least 6 bytes with its length.
	for i := range samples {
		fillerBytes := max(size/count-len(samples[i]), 0)
		if i == count-1 {
			fillerBytes = size - totalBytes
		}
		if fillerBytes = min(fillerBytes, size-totalBytes); fillerBytes < 6 || i < count-1 && size-totalBytes-fillerBytes < 6 {
			continue
		}
		samples[i] = append(append(samples[i], uint32Bytes(uint32(fillerBytes-4))...), 0x0c)
		samples[i] = append(append(samples[i], bytes.Repeat([]byte{0xff}, fillerBytes-6)...), 0x80)
		totalBytes += fillerBytes
	}
	return samples
}
