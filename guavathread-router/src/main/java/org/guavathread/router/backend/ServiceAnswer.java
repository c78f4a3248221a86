package org.guavathread.router.backend;

import java.util.List;
import java.util.Map;

/**
 * The response of a plain service, whatever its status.
 *
 * @param status the HTTP status
 * @param headers the headers, except those for message framing
 * @param body the body; not copied
 */
public record ServiceAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
