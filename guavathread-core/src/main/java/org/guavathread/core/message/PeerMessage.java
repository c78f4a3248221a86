package org.guavathread.core.message;

/**
 * A message between hosts. Every implementation is a record whose components are value types, numbers, texts, byte
 * arrays, booleans, enums, lists, optionals or further records of these, so that the codec can derive its wire form.
 */
public interface PeerMessage {}
