/** Common components of the stand-ins: HTTP server with fault injection, run ledger, JSON. */
@NullMarked
package org.amaranthstream.standins.server;

import org.jspecify.annotations.NullMarked;
