package org.amaranthstream.peer;

import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import javax.net.ssl.SSLException;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Mutual TLS of the peer links. Adds nothing to a connection if the credentials are a shared key.
 *
 * <p>Thread safe.
 */
final class PeerTls {
  private static final String PROTOCOL = "TLSv1.3";

  private final @Nullable SslContext server;
  private final @Nullable SslContext client;

  private PeerTls(@Nullable SslContext server, @Nullable SslContext client) {
    this.server = server;
    this.client = client;
  }

  static Result<PeerTls> of(PeerCredentials credentials) {
    if (!(credentials instanceof PeerCredentials.MutualTls files)) {
      return Result.success(new PeerTls(null, null));
    }
    try {
      return Result.success(new PeerTls(serverContext(files), clientContext(files)));
    } catch (SSLException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.INVALID_SETTINGS, "cannot read the peer certificates and key: " + e);
    }
  }

  private static SslContext serverContext(PeerCredentials.MutualTls files) throws SSLException {
    return SslContextBuilder.forServer(
            files.certificateChain().toFile(), files.privateKey().toFile())
        .trustManager(files.trustedCertificates().toFile())
        .clientAuth(ClientAuth.REQUIRE)
        .protocols(PROTOCOL)
        .build();
  }

  /**
   * Returns the client's context. It does not check the address, because {@link TlsAuthenticator}
   * checks the certificate against the expected entry VM.
   */
  private static SslContext clientContext(PeerCredentials.MutualTls files) throws SSLException {
    return SslContextBuilder.forClient()
        .keyManager(files.certificateChain().toFile(), files.privateKey().toFile())
        .trustManager(files.trustedCertificates().toFile())
        .endpointIdentificationAlgorithm(null)
        .protocols(PROTOCOL)
        .build();
  }

  boolean isEnabled() {
    return client != null;
  }

  void addServerHandler(Channel channel) {
    if (server != null) {
      channel.pipeline().addLast(server.newHandler(channel.alloc()));
    }
  }

  void addClientHandler(Channel channel) {
    if (client != null) {
      channel.pipeline().addLast(client.newHandler(channel.alloc()));
    }
  }
}
