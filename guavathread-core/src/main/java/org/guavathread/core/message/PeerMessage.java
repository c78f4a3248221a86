package org.guavathread.core.message;

/**
 * A message between hosts. Every implementation is a record whose components are value types, numbers, strings, byte
 * arrays, booleans, enums, lists, optionals or records of these, so that the codec can derive its wire format.
 */
public interface PeerMessage {}
