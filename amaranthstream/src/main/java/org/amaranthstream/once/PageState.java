package org.amaranthstream.once;

import org.amaranthstream.ids.Revision;

/** A page as read or written. */
record PageState(Revision revision, ClaimPage page) {}
