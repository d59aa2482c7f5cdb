/** What the stand-ins share: the HTTP server with its fault switches, the ledger, JSON. */
@NullMarked
package org.amaranthstream.standins.server;

import org.jspecify.annotations.NullMarked;
