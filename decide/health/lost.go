package health

// LostRetentionMs is the time for which a media node that could not be reached may come back with the sessions that were given
// up there: media nodes go silent for up to half a minute.
const LostRetentionMs = 30000.0

// HoldsReservation reports whether a session that is lost to its viewer goes on counting: it may still play, and its class is
// capped, so that another one in its place could be one too many. LostSessionGone ends that. Where nothing is capped, a new
// session finds by its media node's answer whether there is room.
func HoldsReservation(mayPlay, classCapped bool) bool { return mayPlay && classCapped }

// EndPresumed reports whether a session that its viewer has ended is taken to be over though its media node has not confirmed that,
// which it need not. Where the class is capped the media node must have been heard, at lastContactAt, since it was told at toldAt: one
// that is cut off plays the session on.
func EndPresumed(classCapped bool, toldAt, lastContactAt float64) bool {
	return !classCapped || lastContactAt > toldAt
}
