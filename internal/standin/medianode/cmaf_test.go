package medianode

import (
	"encoding/binary"
	"strings"
	"testing"
)

// parseBoxes reads boxes as a parser does and collects their sizes by type: every size must lead exactly to the next
// box.
func parseBoxes(t *testing.T, data []byte, path string, sizes map[string]int) {
	t.Helper()
	for len(data) > 0 {
		if len(data) < 8 {
			t.Fatalf("%s: %d stray bytes", path, len(data))
		}
		size, kind := int(binary.BigEndian.Uint32(data)), string(data[4:8])
		if size < 8 || size > len(data) {
			t.Fatalf("%s/%s: size %d of %d", path, kind, size, len(data))
		}
		sizes[kind] = size
		switch kind {
		case "moov", "trak", "mdia", "minf", "dinf", "stbl", "mvex", "moof", "traf":
			parseBoxes(t, data[8:size], path+"/"+kind, sizes)
		}
		data = data[size:]
	}
}

// The init segment has all boxes that a player needs. A media segment has the requested size, its trun points at the
// samples in mdat, and each sample consists of whole NAL units: a picture, and perhaps filler.
func TestSegmentsParse(t *testing.T) {
	sizes := map[string]int{}
	parseBoxes(t, initSegment(640, 360), "init", sizes)
	for _, kind := range strings.Fields(
		"ftyp moov mvhd trak tkhd mdia mdhd hdlr minf vmhd dinf dref stbl stsd stts stsc stsz stco mvex trex") {
		if sizes[kind] == 0 {
			t.Errorf("the init segment has no %s box", kind)
		}
	}
	for _, c := range []struct{ size, width, height, rung, ms int }{{4200, 320, 180, 0, 1000}, {9800, 640, 360, 1, 1000},
		{56000, 1280, 720, 3, 2000}, {100, 320, 180, 0, 1000}} { // 100 bytes are fewer than the pictures take
		segment := mediaSegment(3, 2*c.ms, c.ms, c.size, c.width, c.height, c.rung)
		if c.size > 100 && len(segment) != c.size {
			t.Errorf("segment has %[2]d bytes, want %[1]d", c.size, len(segment))
		}
		sizes = map[string]int{}
		parseBoxes(t, segment, "media", sizes)
		trun := strings.Index(string(segment), "trun") + 4
		count, offset := int(binary.BigEndian.Uint32(segment[trun+4:])), int(binary.BigEndian.Uint32(segment[trun+8:]))
		if moof := strings.Index(string(segment), "moof") - 4; count != c.ms/100 || moof+offset != len(segment)-sizes["mdat"]+8 {
			t.Fatalf("trun: %d samples, offset %d; mdat %d of %d", count, offset, sizes["mdat"], len(segment))
		}
		position := len(segment) - sizes["mdat"] + 8
		for sample := range count {
			end, unitTypes := position+int(binary.BigEndian.Uint32(segment[trun+16+4*sample:])), []byte{}
			for position+4 < end {
				size := int(binary.BigEndian.Uint32(segment[position:]))
				unit := segment[position+4 : position+4+size]
				unitTypes = append(unitTypes, unit[0]&31)
				if strings.Contains(string(unit), "\x00\x00\x01") || strings.Contains(string(unit), "\x00\x00\x00") {
					t.Errorf("sample %d contains a start code", sample)
				}
				position += 4 + size
			}
			if want := map[bool]byte{true: 5, false: 1}[sample == 0]; position != end || unitTypes[0] != want ||
				len(unitTypes) == 2 && unitTypes[1] != 12 {
				t.Fatalf("sample %d: NAL unit types %v, ends at %d, want %d", sample, unitTypes, position, end)
			}
		}
		tfdt := strings.Index(string(segment), "tfdt") + 8
		if begins := binary.BigEndian.Uint64(segment[tfdt:]); position != len(segment) || begins != uint64(2*c.ms) {
			t.Errorf("segment 3 begins at %d ms and has %d bytes after its samples", begins, len(segment)-position)
		}
	}
}

// The sequence parameter set, read back bit by bit, gives the picture size.
func TestParameterSetCarriesPictureSize(t *testing.T) {
	for _, size := range [][2]int{{320, 180}, {640, 360}, {1280, 720}, {64, 64}} {
		sps, bitPosition := sequenceParameterSet(size[0], size[1]), 32
		readBit := func() (v int) { v = int(sps[bitPosition/8]>>(7-bitPosition%8)) & 1; bitPosition++; return v }
		readExpGolomb := func() int {
			zeros, value := 0, 1
			for readBit() == 0 {
				zeros++
			}
			for range zeros {
				value = value<<1 | readBit()
			}
			return value - 1
		}
		for range 4 {
			readExpGolomb()
		}
		readBit()
		width, height := 16*(readExpGolomb()+1), 16*(readExpGolomb()+1)
		readBit()
		readBit()
		if readBit() == 1 {
			readExpGolomb()
			width -= 2 * readExpGolomb()
			readExpGolomb()
			height -= 2 * readExpGolomb()
		}
		if width != size[0] || height != size[1] || sps[1] != avcProfile || sps[3] != avcLevel {
			t.Errorf("size %v is read back as %d by %d from % x", size, width, height, sps[:4])
		}
	}
}

// A viewer sees a change of rung: test cards of two rungs differ, and so do those of two segments.
func TestCardsDifferByRungAndSegment(t *testing.T) {
	first := testCard(20, 12, 0, 1)
	for _, other := range [][]yuvColor{testCard(20, 12, 1, 1), testCard(20, 12, 0, 2)} {
		same := 0
		for i := range first {
			if first[i] == other[i] {
				same++
			}
		}
		if same == len(first) {
			t.Error("two test cards are the same")
		}
	}
}
