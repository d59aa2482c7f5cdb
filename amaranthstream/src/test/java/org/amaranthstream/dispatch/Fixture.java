package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.decisions.DecisionRecord;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.placement.AffinityPlacement;
import org.amaranthstream.time.VirtualTimerService;

/** Dispatcher under test with a virtual clock and fake collaborators. */
final class Fixture {
  static final EntryVmId VM = EntryVmId.of("lisboa-a-1");
  static final Incarnation INCARNATION = Incarnation.of("inc");

  final VirtualTimerService timers = VirtualTimerService.create();
  final FakeDirectory directory = new FakeDirectory();
  final FakeTransport transport = new FakeTransport();
  final FakeForwarder forwarder = new FakeForwarder();
  final List<DecisionRecord> records = new ArrayList<>();

  /** Incarnations that rejected a request because they are draining. */
  final List<Incarnation> drainingServers = new ArrayList<>();

  final Dispatcher dispatcher;
  private long sequence;

  Fixture() {
    this(DispatchSettings.defaults());
  }

  Fixture(DispatchSettings settings) {
    this(Dispatcher.builder().settings(settings));
  }

  Fixture(DispatcherBuilder builder) {
    this.dispatcher =
        builder
            .timers(timers)
            .transport(transport)
            .forwarder(forwarder)
            .directory(directory)
            .region(FakeDirectory.REGION)
            .incarnation(INCARNATION)
            .decisionLog(records::add)
            .feedback(server -> drainingServers.add(directory.incarnation(server.id().value())))
            .limits(FixedConcurrencyLimit::new)
            .placement(AffinityPlacement.create(new Random(1)))
            .build();
  }

  Work.Builder work() {
    return Work.builder()
        .id(RequestId.of(VM, INCARNATION, sequence++))
        .workClass(WorkClassId.of("lookup"))
        .pool(FakeDirectory.POOL)
        .priority(Priority.INTERACTIVE)
        .payload(new Payload.Generate("steel bolts " + sequence, 8, 0))
        .deadlineNanos(timers.nowNanos() + Duration.ofSeconds(10).toNanos());
  }

  Work.Builder call() {
    return work().payload(new Payload.Call("/v1/call", "text/plain", new byte[] {1}));
  }

  RecordingWorkListener submit(Work work) {
    RecordingWorkListener listener = new RecordingWorkListener();
    dispatcher.submit(work, listener);
    return listener;
  }

  RecordingWorkListener submit() {
    return submit(work().build());
  }

  void advanceMillis(long millis) {
    timers.advance(Duration.ofMillis(millis));
  }
}
