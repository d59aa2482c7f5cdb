package org.amaranthstream.weights;

import com.google.common.collect.ImmutableMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.ServerRegistration;

/** Registrations of engines. */
final class TestEngines {
  private TestEngines() {}

  static ServerRegistration entry(String id, ImmutableMap<ModelId, WeightVersion> versions) {
    return new ServerRegistration(
        BackendServerId.of(id),
        1,
        ServiceId.of("engine"),
        SoftwareVersion.of("v1"),
        "10.0.0.9",
        8080,
        AvailabilityZoneId.of("a"),
        4,
        false,
        versions);
  }
}
