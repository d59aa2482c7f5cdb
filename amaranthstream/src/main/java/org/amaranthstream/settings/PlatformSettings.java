package org.amaranthstream.settings;

import java.net.URI;
import java.util.Optional;
import org.amaranthstream.auth.Secret;

/**
 * Address and credential of the platform's services.
 *
 * @param url the base URL of the key-value service and the VM list
 * @param token the bearer token for requests to the platform, if it requires one
 */
public record PlatformSettings(URI url, Optional<Secret> token) {}
