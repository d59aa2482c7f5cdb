package org.amaranthstream.calls;

import java.util.Optional;

/**
 * Position in a stream that a caller has received in part and resumes with a new request.
 *
 * @param firstRequest the id of the request that brought the first event, empty if the caller does
 *     not name it
 */
public record StreamResumption(Optional<String> firstRequest) {}
