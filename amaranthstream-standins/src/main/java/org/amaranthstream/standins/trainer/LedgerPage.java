package org.amaranthstream.standins.trainer;

import java.util.List;
import org.amaranthstream.standins.server.RunSegment;

/** What an engine's ledger says that it produced. */
record LedgerPage(List<LedgerRun> runs) {

  /** One run of one request. */
  record LedgerRun(String key, List<RunSegment> segments) {}
}
