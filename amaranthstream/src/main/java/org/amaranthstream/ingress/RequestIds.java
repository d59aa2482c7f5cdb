package org.amaranthstream.ingress;

import java.util.concurrent.atomic.AtomicLong;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;

/** Mints the ids of the requests that one incarnation of an entry VM accepts. Thread safe. */
public final class RequestIds {
  private final EntryVmId vm;
  private final Incarnation incarnation;
  private final AtomicLong next = new AtomicLong();

  private RequestIds(EntryVmId vm, Incarnation incarnation) {
    this.vm = vm;
    this.incarnation = incarnation;
  }

  /** Returns a source of ids for one incarnation. */
  public static RequestIds of(EntryVmId vm, Incarnation incarnation) {
    return new RequestIds(vm, incarnation);
  }

  /** Returns an id that was not returned before. */
  public RequestId mint() {
    return RequestId.of(vm, incarnation, next.getAndIncrement());
  }
}
