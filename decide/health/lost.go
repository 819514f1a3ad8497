package health

// LostRetentionMs is the time for which a media node that could not be reached may come back with the sessions that were given
// up there: media nodes go silent for up to half a minute.
const LostRetentionMs = 30000.0

// HoldsReservation reports whether a session that is lost to its viewer goes on counting: it may still play, and its class is
// capped, so that another one in its place could be one too many. LostSessionGone ends that. Where nothing is capped, a new
// session finds by its media node's answer whether there is room.
func HoldsReservation(mayPlay, classCapped bool) bool { return mayPlay && classCapped }
