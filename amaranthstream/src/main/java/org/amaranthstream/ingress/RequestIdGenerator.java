package org.amaranthstream.ingress;

import java.util.concurrent.atomic.AtomicLong;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;

/** A generator of the ids of requests to one incarnation of an entry VM. Thread safe. */
public final class RequestIdGenerator {
  private final EntryVmId vm;
  private final Incarnation incarnation;
  private final AtomicLong nextSequence = new AtomicLong();

  private RequestIdGenerator(EntryVmId vm, Incarnation incarnation) {
    this.vm = vm;
    this.incarnation = incarnation;
  }

  /** Returns a generator. A second one for the same incarnation would repeat the ids. */
  public static RequestIdGenerator of(EntryVmId vm, Incarnation incarnation) {
    return new RequestIdGenerator(vm, incarnation);
  }

  /** Returns an id that this generator has not returned before. */
  public RequestId next() {
    return RequestId.of(vm, incarnation, nextSequence.getAndIncrement());
  }
}
