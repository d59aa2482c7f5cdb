package org.amaranthstream.idempotency;

import org.amaranthstream.ids.Revision;

/** A claim page and its revision in the key-value service. */
record PageState(Revision revision, ClaimPage page) {}
