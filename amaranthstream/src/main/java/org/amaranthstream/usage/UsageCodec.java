package org.amaranthstream.usage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.List;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.usage.wire.DaemonUsageRecord;
import org.amaranthstream.usage.wire.FixedWindowsRecord;
import org.amaranthstream.usage.wire.WindowRecord;
import org.amaranthstream.usage.wire.WorkspaceCount;

/** Codec of counts in messages and in the store. Decoders throw on malformed input. */
final class UsageCodec {
  private UsageCodec() {}

  static DaemonUsageRecord encodeUsage(DaemonUsage usage) {
    DaemonUsageRecord.Builder record =
        DaemonUsageRecord.newBuilder()
            .setVm(usage.vm().value())
            .setIncarnation(usage.incarnation().value())
            .setSequence(usage.sequence());
    usage.windows().forEach(window -> record.addWindow(encodeWindow(window)));
    return record.build();
  }

  static DaemonUsage decodeUsage(DaemonUsageRecord record) {
    return new DaemonUsage(
        EntryVmId.of(record.getVm()),
        Incarnation.of(record.getIncarnation()),
        record.getSequence(),
        decodeWindows(record.getWindowList()));
  }

  private static WindowRecord encodeWindow(WindowCounts counts) {
    WindowRecord.Builder record = WindowRecord.newBuilder().setWindow(counts.window());
    counts
        .requests()
        .forEach(
            (workspace, requests) ->
                record.addCount(
                    WorkspaceCount.newBuilder()
                        .setWorkspace(workspace.value())
                        .setRequests(requests)));
    return record.build();
  }

  private static ImmutableList<WindowCounts> decodeWindows(Collection<WindowRecord> records) {
    return records.stream().map(UsageCodec::decodeWindow).collect(ImmutableList.toImmutableList());
  }

  private static WindowCounts decodeWindow(WindowRecord record) {
    ImmutableSortedMap.Builder<WorkspaceId, Long> requests = ImmutableSortedMap.naturalOrder();
    for (WorkspaceCount count : record.getCountList()) {
      requests.put(WorkspaceId.of(count.getWorkspace()), count.getRequests());
    }
    return new WindowCounts(record.getWindow(), requests.buildOrThrow());
  }

  static byte[] encodeFixed(long lastWindow, List<WindowCounts> windows) {
    FixedWindowsRecord.Builder record = FixedWindowsRecord.newBuilder().setLastWindow(lastWindow);
    windows.forEach(window -> record.addWindow(encodeWindow(window)));
    return record.build().toByteArray();
  }

  static FixedWindows decodeFixed(byte[] value, Revision revision)
      throws InvalidProtocolBufferException {
    FixedWindowsRecord record = FixedWindowsRecord.parseFrom(value);
    return new FixedWindows(
        revision, record.getLastWindow(), decodeWindows(record.getWindowList()));
  }
}
