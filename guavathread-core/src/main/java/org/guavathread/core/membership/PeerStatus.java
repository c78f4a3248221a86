package org.guavathread.core.membership;

/** Whether a peer answers. */
public enum PeerStatus {
    /** A report of the peer arrived within the suspicion time. */
    ALIVE,
    /** The peer is watched and no report arrived for the suspicion time. It keeps its ownership: it may still act. */
    SUSPECT,
    /** The peer is not watched, or has not been watched for the suspicion time yet. */
    UNKNOWN
}
