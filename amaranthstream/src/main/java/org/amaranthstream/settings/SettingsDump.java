package org.amaranthstream.settings;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Converter of settings to JSON without secrets, for the state dump. */
public final class SettingsDump {
  private SettingsDump() {}

  /** Returns {@code settings} as a JSON object without secrets. */
  public static ObjectNode of(Settings settings) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("vm", settings.vm().value());
    node.put("region", settings.region().value());
    node.put("zone", settings.zone().value());
    node.put("http", settings.http().toString());
    node.put("peer", settings.peer().address().toString());
    node.put("peerSecurity", describe(settings.peer().security()));
    node.put("platform", settings.platform().url().toString());
    settings.dataFolder().ifPresent(folder -> node.put("dataFolder", folder.toString()));
    addLists(settings, node);
    ObjectNode limits = node.putObject("limits");
    for (LimitKey key : LimitKey.values()) {
      limits.put(key.key(), settings.limits().get(key));
    }
    ObjectNode timing = node.putObject("timing");
    for (TimingKey key : TimingKey.values()) {
      timing.put(key.key(), settings.timing().get(key).toMillis());
    }
    return node;
  }

  private static void addLists(Settings settings, ObjectNode node) {
    ArrayNode peers = node.putArray("peers");
    settings.peers().forEach(seed -> peers.add(seed.vm() + "=" + seed.address()));
    ArrayNode callers = node.putArray("callers");
    settings.callers().forEach(caller -> callers.add(caller.name() + "=" + caller.role()));
    ArrayNode keys = node.putArray("deliveryKeys");
    settings.deliveryKeys().forEach(key -> keys.add(key.id()));
  }

  private static String describe(PeerSecurity security) {
    return security instanceof PeerSecurity.Tls ? "tls" : "sharedKey";
  }
}
