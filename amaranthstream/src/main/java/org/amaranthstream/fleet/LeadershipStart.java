package org.amaranthstream.fleet;

import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.FencingNumber;

/**
 * The start record of a leader lease: identifies the last holder that began to act.
 *
 * @param vm the entry VM of the holder
 * @param host the IP address of its peer link; distinguishes the VM from one that replaced it under
 *     its name
 * @param fence the fencing token of the holder
 */
record LeadershipStart(EntryVmId vm, String host, FencingNumber fence) {
  private static final char SEPARATOR = '/';
  private static final int FIELDS = 3;

  static LeadershipStart of(FleetNode node, FencingNumber fence) {
    return new LeadershipStart(node.vm(), node.host(), fence);
  }

  /** Returns true if the holder ran on the VM of {@code node}, in any incarnation. */
  boolean isOnVmOf(FleetNode node) {
    return vm.equals(node.vm()) && host.equals(node.host());
  }

  byte[] encode() {
    String text = "" + vm + SEPARATOR + host + SEPARATOR + fence.value();
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static Optional<LeadershipStart> decode(byte[] value) {
    String text = new String(value, StandardCharsets.UTF_8);
    List<String> fields = Splitter.on(SEPARATOR).splitToList(text);
    if (fields.size() != FIELDS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new LeadershipStart(
              EntryVmId.of(fields.get(0)),
              fields.get(1),
              FencingNumber.of(Long.parseLong(fields.get(2)))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
