package org.amaranthstream.calls;

import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.servers.ServerRegistration;

/**
 * Kind of server that began a stream. The stream can continue at servers of the same kind only.
 *
 * @param service the service of the server
 * @param software the version of the server's software
 */
public record StreamOrigin(ServiceId service, SoftwareVersion software) {

  /** Returns the origin of streams that the registered server begins. */
  static StreamOrigin of(ServerRegistration server) {
    return new StreamOrigin(server.service(), server.softwareVersion());
  }
}
