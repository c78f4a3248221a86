package org.guavathread.router.backend;

/**
 * A value of the configuration service.
 *
 * @param name its name, for example {@code "sheet"}
 * @param version its version at the service
 * @param body the content; not copied
 */
public record ConfigValue(String name, long version, byte[] body) {}
