package org.amaranthstream.standins.trainer;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import java.util.List;
import org.amaranthstream.standins.engine.GeneratedText;
import org.amaranthstream.standins.server.RunSegment;
import org.amaranthstream.standins.trainer.PullPage.Sample;
import org.amaranthstream.standins.trainer.PullPage.Segment;

/** Compares the versions that samples name with those in the engines' ledgers. */
final class VersionJudge {
  private final ListMultimap<String, RunSegment> produced = ArrayListMultimap.create();

  void add(LedgerPage ledger) {
    ledger.runs().forEach(run -> produced.putAll(run.key(), run.segments()));
  }

  /** Returns true if engines produced every token of the sample under the version it names. */
  boolean isLabelledRightly(Sample sample) {
    List<RunSegment> truth = produced.get(GeneratedText.keyOf(sample.text()));
    long offset = 0;
    for (Segment segment : sample.segments()) {
      for (long i = 0; i < segment.tokens(); i++) {
        if (!isProduced(truth, offset + i, segment.version())) {
          return false;
        }
      }
      offset += segment.tokens();
    }
    return true;
  }

  private static boolean isProduced(List<RunSegment> truth, long position, long version) {
    return truth.stream()
        .anyMatch(
            run ->
                run.version() == version
                    && run.offset() <= position
                    && position < run.offset() + run.tokens());
  }
}
