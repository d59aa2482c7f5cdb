package org.amaranthstream.standins.trainer;

import java.util.List;
import org.amaranthstream.standins.server.RunSegment;

/** JSON body of an engine's ledger, as far as the trainer reads it. */
record LedgerPage(List<LedgerRun> runs) {

  /** One run of one request. */
  record LedgerRun(String key, List<RunSegment> segments) {}
}
