/** Request kinds and refusals, shared by all packages. */
package org.guavathread.core.request;
