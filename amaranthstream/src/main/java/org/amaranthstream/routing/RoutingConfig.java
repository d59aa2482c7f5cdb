package org.amaranthstream.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.workspaces.WorkspaceDirectory;

/**
 * Version of the operators' configuration of routes, services and limits.
 *
 * <p>Immutable and thread safe.
 */
public final class RoutingConfig {
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

  private final long version;
  private final ImmutableMap<RouteId, Route> routes;
  private final ImmutableMap<String, ImmutableList<Route>> routesByHost;
  private final ImmutableMap<ServiceId, ServicePolicy> services;
  private final RequestLimits limits;
  private final WorkspaceDirectory workspaces;
  private final boolean sharesEngines;

  private RoutingConfig(
      long version,
      ImmutableMap<RouteId, Route> routes,
      ImmutableMap<ServiceId, ServicePolicy> services,
      RequestLimits limits,
      WorkspaceDirectory workspaces) {
    this.version = version;
    this.routes = routes;
    this.routesByHost = byHost(routes);
    this.services = services;
    this.limits = limits;
    this.workspaces = workspaces;
    this.sharesEngines =
        services.values().stream().anyMatch(service -> service.models().size() > 1);
  }

  /**
   * Returns a configuration without workspaces; of several routes or services with one id, the last
   * is kept.
   */
  public static RoutingConfig of(
      long version,
      Iterable<Route> routes,
      Iterable<ServicePolicy> services,
      RequestLimits limits) {
    ImmutableMap.Builder<RouteId, Route> byId = ImmutableMap.builder();
    routes.forEach(route -> byId.put(route.id(), route));
    ImmutableMap.Builder<ServiceId, ServicePolicy> policies = ImmutableMap.builder();
    services.forEach(service -> policies.put(service.id(), service));
    return new RoutingConfig(
        version,
        byId.buildKeepingLast(),
        policies.buildKeepingLast(),
        limits,
        WorkspaceDirectory.none());
  }

  /** Returns the same configuration with {@code workspaces}. */
  public RoutingConfig withWorkspaces(WorkspaceDirectory workspaces) {
    return new RoutingConfig(version, routes, services, limits, workspaces);
  }

  private static ImmutableMap<String, ImmutableList<Route>> byHost(
      ImmutableMap<RouteId, Route> routes) {
    Map<String, List<Route>> grouped = new HashMap<>();
    for (Route route : routes.values()) {
      grouped.computeIfAbsent(route.host(), unused -> new ArrayList<>()).add(route);
    }
    ImmutableMap.Builder<String, ImmutableList<Route>> sorted = ImmutableMap.builder();
    grouped.forEach(
        (host, list) -> sorted.put(host, ImmutableList.sortedCopyOf(LONGEST_PREFIX_FIRST, list)));
    return sorted.buildOrThrow();
  }

  /** Returns the version number; a newer configuration has a greater one. */
  public long version() {
    return version;
  }

  /** Returns the route of {@code host} with the longest prefix that matches {@code path}. */
  public Optional<Route> find(String host, String path) {
    for (Route route : routesByHost.getOrDefault(host, ImmutableList.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the batch routes of a host. */
  public ImmutableList<Route> batchRoutes(String host) {
    return routesByHost.getOrDefault(host, ImmutableList.of()).stream()
        .filter(route -> route.kind() == RouteKind.BATCH)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routes.size();
  }

  /** Returns the services by id. */
  public ImmutableMap<ServiceId, ServicePolicy> services() {
    return services;
  }

  /** Returns the capacity of the engines of a service, empty if the configuration has none. */
  public Optional<EngineCapacity> engineCapacity(ServiceId service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServicePolicy::engine);
  }

  /**
   * Returns true if the engines of a service serve several models. Each model has a trainer, and
   * the trainers' jobs, which different daemons own, compete for the slots of the engines.
   */
  public boolean sharesEngines() {
    return sharesEngines;
  }

  /** Returns the workspaces; if there are any, requests need a key of one of them. */
  public WorkspaceDirectory workspaces() {
    return workspaces;
  }

  /** Returns the priority of a request of {@code workspace} on {@code route}; 0 comes first. */
  public int effectivePriority(Route route, Optional<WorkspaceId> workspace) {
    return workspaces.effectivePriority(workspace, route.priority());
  }

  /** Returns the limits on the requests of callers. */
  public RequestLimits limits() {
    return limits;
  }
}
