package org.guavathread.router.backend;

import java.util.List;
import java.util.Map;

/**
 * The answer of a plain service, with any status.
 *
 * @param status the HTTP status
 * @param headers the headers, without those that frame the message
 * @param body the body; not copied
 */
public record ServiceAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
