package org.amaranthstream.fleet;

import com.google.common.net.HttpHeaders;
import java.util.Optional;
import org.amaranthstream.calls.OutboundCall;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RoutingConfig;

/** Lookup of the route of a relayed call, by its host header and path. */
final class RelayedRoute {
  private RelayedRoute() {}

  static Optional<Route> find(RoutingConfig config, OutboundCall call) {
    String host = call.headers().get(HttpHeaders.HOST);
    return host == null ? Optional.empty() : config.find(withoutPort(host), pathOf(call.uri()));
  }

  private static String withoutPort(String host) {
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  private static String pathOf(String uri) {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
