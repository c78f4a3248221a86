/** How hosts find each other from a few seeds, and what they tell each other about themselves. */
package org.guavathread.core.gossip;
