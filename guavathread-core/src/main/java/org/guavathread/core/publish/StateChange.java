package org.guavathread.core.publish;

/**
 * A change of the published state as this host applied it, for the log.
 *
 * @param what kind of the changed item: {@code configuration}, {@code server} or {@code evacuation}
 * @param name version of the configuration, id of the server or name of the data centre
 * @param outcome effect of the change
 * @param revision the store's revision of the change
 */
public record StateChange(String what, String name, String outcome, long revision) {}
