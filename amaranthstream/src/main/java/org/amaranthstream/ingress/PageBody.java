package org.amaranthstream.ingress;

import java.util.List;
import org.amaranthstream.rollout.Page;
import org.amaranthstream.rollout.Sample;

/** Response body of a trainer's pull. */
record PageBody(long pull, String token, List<SampleBody> samples, int remaining, boolean done) {

  static PageBody of(Page page) {
    return new PageBody(
        page.pull(),
        page.token(),
        page.samples().stream().map(SampleBody::of).toList(),
        page.remaining(),
        page.done());
  }

  /** One sample of the page. */
  record SampleBody(int slot, int group, String text, int tokens, List<SegmentBody> segments) {

    static SampleBody of(Sample sample) {
      return new SampleBody(
          sample.slot(),
          sample.group(),
          sample.text(),
          sample.tokens(),
          sample.segments().stream()
              .map(segment -> new SegmentBody(segment.version().value(), segment.tokens()))
              .toList());
    }
  }
}
