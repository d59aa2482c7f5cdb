package org.amaranthstream.standins.trainer;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import java.util.List;
import org.amaranthstream.standins.engine.GeneratedText;
import org.amaranthstream.standins.server.RunSegment;
import org.amaranthstream.standins.trainer.PullPage.Sample;
import org.amaranthstream.standins.trainer.PullPage.Segment;

/**
 * Verifier of the weight versions in samples against the ledgers of the engines. Not thread safe.
 */
final class VersionVerifier {
  private final ListMultimap<String, RunSegment> generatedSegments = ArrayListMultimap.create();

  /** Adds the runs of an engine's ledger. */
  void add(LedgerPage ledger) {
    ledger.runs().forEach(run -> generatedSegments.putAll(run.key(), run.segments()));
  }

  /** Returns true if the engines generated each token of the sample under the version it states. */
  boolean hasCorrectVersions(Sample sample) {
    List<RunSegment> ledgerSegments = generatedSegments.get(GeneratedText.keyOf(sample.text()));
    long offset = 0;
    for (Segment segment : sample.segments()) {
      for (long i = 0; i < segment.tokens(); i++) {
        if (!isGenerated(ledgerSegments, offset + i, segment.version())) {
          return false;
        }
      }
      offset += segment.tokens();
    }
    return true;
  }

  private static boolean isGenerated(List<RunSegment> ledgerSegments, long position, long version) {
    return ledgerSegments.stream()
        .anyMatch(
            segment ->
                segment.version() == version
                    && segment.offset() <= position
                    && position < segment.offset() + segment.tokens());
  }
}
