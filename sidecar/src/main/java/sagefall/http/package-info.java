/**
 * An HTTP/1.1 client: one outgoing connection with its Netty handlers, and the names of the
 * protocol's header fields. All code runs on the event loop of the connection.
 */
package sagefall.http;
