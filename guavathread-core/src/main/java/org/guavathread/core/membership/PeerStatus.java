package org.guavathread.core.membership;

/** Whether a peer answers. */
public enum PeerStatus {
    /** The peer was heard of within the suspicion time. */
    ALIVE,
    /** The peer is watched and has been silent for the suspicion time. It keeps its ownership: it may still act. */
    SUSPECT,
    /** The peer is not watched, or not for long enough to tell. */
    UNKNOWN
}
