/** The product's entry point; everything else is in the packages below. */
package sagefall;
