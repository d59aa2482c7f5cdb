package org.amaranthstream.peer;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.time.VirtualTimerService;

/** Entry VMs on loopback with a common virtual clock, all run by the test thread. */
final class TestMesh implements AutoCloseable {
  static final Duration TICK = Duration.ofMillis(250);

  final VirtualTimerService timers = VirtualTimerService.create();
  final ManualDuty duty = new ManualDuty();
  final List<TestNode> nodes = new ArrayList<>();
  private long nextRequest;

  static PeerLinkSettings.Builder settings() {
    return PeerLinkSettings.builder().credentials(key("0123456789abcdef0123456789abcdef"));
  }

  static PeerCredentials key(String text) {
    return PeerCredentials.SharedKey.of(text.getBytes(StandardCharsets.UTF_8));
  }

  TestNode start(String name, String zone) {
    return start(name, zone, settings().build());
  }

  TestNode start(String name, String zone, PeerLinkSettings settings) {
    TestNode node = TestNode.start(name, zone, settings, timers, duty);
    nodes.add(node);
    return node;
  }

  /** Passes a VM list with all nodes to every node. */
  void publishVmList() {
    List<VmEntry> entries = nodes.stream().map(TestNode::entry).toList();
    nodes.forEach(node -> node.table.onVmList(entries, timers.nowNanos()));
  }

  void tick() {
    timers.advance(TICK);
  }

  void runUntil(String description, BooleanSupplier condition) {
    duty.runUntil(description, condition);
  }

  /** Publishes the VM list and waits until {@code from} has a link to {@code to}. */
  void connect(TestNode from, TestNode to) {
    publishVmList();
    tick();
    runUntil("link", () -> from.isLinkedTo(to));
  }

  Work newWork(TestNode origin) {
    return Work.builder()
        .id(RequestId.of(origin.self.id(), origin.self.incarnation(), nextRequest++))
        .workClass(WorkClassId.of("lookup"))
        .pool(PoolId.of("coding"))
        .priority(Priority.INTERACTIVE)
        .idempotent(false)
        .payload(new Payload.Generate("steel bolts", 16, 7))
        .deadlineNanos(timers.nowNanos() + Duration.ofMinutes(1).toNanos())
        .build();
  }

  @Override
  public void close() {
    nodes.forEach(node -> node.node.close());
  }
}
