package box

import (
	"encoding/binary"
	"strings"
	"testing"
)

// walk reads boxes as an ordinary parser does: every size must lead exactly to the next box.
func walk(t *testing.T, b []byte, path string, seen map[string]int) {
	t.Helper()
	for len(b) > 0 {
		if len(b) < 8 {
			t.Fatalf("%s: %d stray bytes", path, len(b))
		}
		n, kind := int(binary.BigEndian.Uint32(b)), string(b[4:8])
		if n < 8 || n > len(b) {
			t.Fatalf("%s/%s: size %d of %d", path, kind, n, len(b))
		}
		seen[kind] = n
		switch kind {
		case "moov", "trak", "mdia", "minf", "dinf", "stbl", "mvex", "moof", "traf":
			walk(t, b[8:n], path+"/"+kind, seen)
		}
		b = b[n:]
	}
}

func TestSegmentsParse(t *testing.T) {
	seen := map[string]int{}
	walk(t, initSegment(640, 360), "init", seen)
	for _, k := range strings.Fields("ftyp moov mvhd trak tkhd mdia mdhd hdlr minf vmhd dinf dref stbl stsd stts stsc stsz stco mvex trex") {
		if seen[k] == 0 {
			t.Errorf("the init segment has no %s", k)
		}
	}
	for _, size := range []int{1000, 56000} {
		seg := mediaSegment(3, 2000, size)
		if len(seg) != size {
			t.Errorf("a segment of %d bytes has %d", size, len(seg))
		}
		seen = map[string]int{}
		walk(t, seg, "media", seen)
		i := strings.Index(string(seg), "trun") + 4
		count, offset, duration, bytes := binary.BigEndian.Uint32(seg[i+4:]), binary.BigEndian.Uint32(seg[i+8:]),
			binary.BigEndian.Uint32(seg[i+12:]), binary.BigEndian.Uint32(seg[i+16:])
		moof := strings.Index(string(seg), "moof") - 4
		if count != 1 || duration != 2000 || int(bytes) != seen["mdat"]-8 || moof+int(offset) != len(seg)-int(bytes) {
			t.Errorf("trun: %d samples, offset %d, %d ms, %d bytes; mdat %d", count, offset, duration, bytes, seen["mdat"])
		}
		j := strings.Index(string(seg), "tfdt") + 8
		if at := binary.BigEndian.Uint64(seg[j:]); at != 4000 {
			t.Errorf("segment 3 of 2 s begins at %d ms", at)
		}
	}
}
