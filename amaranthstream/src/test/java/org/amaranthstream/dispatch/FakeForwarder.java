package org.amaranthstream.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RequestId;

/** Forwarder that records requests and leaves their outcomes to the test. */
final class FakeForwarder implements ZoneForwarder {
  final List<Forwarded> forwarded = new ArrayList<>();
  final List<RequestId> cancelled = new ArrayList<>();

  record Forwarded(AvailabilityZoneId zone, Work work, WorkListener listener) {}

  @Override
  public void forward(AvailabilityZoneId zone, Work work, WorkListener listener) {
    forwarded.add(new Forwarded(zone, work, listener));
  }

  @Override
  public void cancel(RequestId id) {
    cancelled.add(id);
  }
}
