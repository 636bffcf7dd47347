package chestnutgaugev1

import (
	_ "embed"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
)

// published is the descriptor set of the published schema, which operators may
// use.
//
//go:embed chestnutgauge.binpb
var published []byte

func publishedFile(t *testing.T) *descriptorpb.FileDescriptorProto {
	set := &descriptorpb.FileDescriptorSet{}
	require.NoError(t, proto.Unmarshal(published, set))
	require.Len(t, set.GetFile(), 1)
	return set.GetFile()[0]
}

// incompatibilities lists the elements of the old schema that are missing from
// the new one or incompatible with it.
func incompatibilities(old, now protoreflect.FileDescriptor) []string {
	c := &comparison{}
	c.check(old.Package() == now.Package(), "package %s", old.Package())
	c.messages(old.Messages(), now.Messages())
	c.enums(old.Enums(), now.Enums())
	for i := range old.Services().Len() {
		c.service(old.Services().Get(i), now.Services().ByName(old.Services().Get(i).Name()))
	}
	return c.found
}

// comparison collects the incompatibilities between two schemas.
type comparison struct {
	found []string
}

func (c *comparison) check(ok bool, format string, args ...any) {
	if !ok {
		c.found = append(c.found, fmt.Sprintf(format, args...))
	}
}

func (c *comparison) messages(old, now protoreflect.MessageDescriptors) {
	for i := range old.Len() {
		was := old.Get(i)
		is := now.ByName(was.Name())
		if is == nil {
			c.check(false, "message %s", was.FullName())
			continue
		}
		for j := range was.Fields().Len() {
			c.field(was.Fields().Get(j), is.Fields().ByName(was.Fields().Get(j).Name()))
		}
		c.messages(was.Messages(), is.Messages())
		c.enums(was.Enums(), is.Enums())
	}
}

func (c *comparison) field(was, is protoreflect.FieldDescriptor) {
	if is == nil {
		c.check(false, "field %s", was.FullName())
		return
	}
	c.check(was.Number() == is.Number(), "number of %s", was.FullName())
	c.check(was.Kind() == is.Kind(), "type of %s", was.FullName())
	c.check(was.Cardinality() == is.Cardinality(), "cardinality of %s", was.FullName())
	c.check(was.HasPresence() == is.HasPresence(), "presence of %s", was.FullName())
	c.check(was.JSONName() == is.JSONName(), "JSON name of %s", was.FullName())
	c.check(was.IsMap() == is.IsMap(), "map %s", was.FullName())
	c.check(oneof(was) == oneof(is), "oneof of %s", was.FullName())
	if was.Message() != nil && is.Message() != nil {
		c.check(was.Message().FullName() == is.Message().FullName(), "message of %s", was.FullName())
	}
	if was.Enum() != nil && is.Enum() != nil {
		c.check(was.Enum().FullName() == is.Enum().FullName(), "enum of %s", was.FullName())
	}
}

func oneof(field protoreflect.FieldDescriptor) protoreflect.Name {
	if field.ContainingOneof() == nil {
		return ""
	}
	return field.ContainingOneof().Name()
}

func (c *comparison) enums(old, now protoreflect.EnumDescriptors) {
	for i := range old.Len() {
		was := old.Get(i)
		is := now.ByName(was.Name())
		if is == nil {
			c.check(false, "enum %s", was.FullName())
			continue
		}
		for j := range was.Values().Len() {
			value := was.Values().Get(j)
			current := is.Values().ByName(value.Name())
			c.check(current != nil && current.Number() == value.Number(), "value %s", value.FullName())
		}
	}
}

func (c *comparison) service(was, is protoreflect.ServiceDescriptor) {
	if is == nil {
		c.check(false, "service %s", was.FullName())
		return
	}
	for i := range was.Methods().Len() {
		method := was.Methods().Get(i)
		current := is.Methods().ByName(method.Name())
		if current == nil {
			c.check(false, "method %s", method.FullName())
			continue
		}
		c.check(method.Input().FullName() == current.Input().FullName(), "request of %s", method.FullName())
		c.check(method.Output().FullName() == current.Output().FullName(), "response of %s", method.FullName())
		c.check(method.IsStreamingServer() == current.IsStreamingServer(), "stream of %s", method.FullName())
		c.check(method.IsStreamingClient() == current.IsStreamingClient(), "client stream of %s", method.FullName())
	}
}

// TestSchemaStaysCompatible checks that the current schema is backward
// compatible with the published one.
func TestSchemaStaysCompatible(t *testing.T) {
	old, err := protodesc.NewFile(publishedFile(t), resolver{})
	require.NoError(t, err)
	require.Empty(t, incompatibilities(old, File_api_chestnutgauge_v1_chestnutgauge_proto))
}

// resolver resolves the imported well-known types.
type resolver struct{}

func (resolver) FindFileByPath(path string) (protoreflect.FileDescriptor, error) {
	imports := File_api_chestnutgauge_v1_chestnutgauge_proto.Imports()
	for i := range imports.Len() {
		if imports.Get(i).Path() == path {
			return imports.Get(i).FileDescriptor, nil
		}
	}
	return nil, fmt.Errorf("no file %s", path)
}

func (r resolver) FindDescriptorByName(name protoreflect.FullName) (protoreflect.Descriptor, error) {
	imports := File_api_chestnutgauge_v1_chestnutgauge_proto.Imports()
	for i := range imports.Len() {
		if found := imports.Get(i).Messages().ByName(name.Name()); found != nil && found.FullName() == name {
			return found, nil
		}
	}
	return nil, fmt.Errorf("no %s", name)
}

// TestBreakingChangesAreFound checks that each kind of breaking change is
// detected.
func TestBreakingChangesAreFound(t *testing.T) {
	cases := []struct {
		name   string
		change func(file *descriptorpb.FileDescriptorProto)
		want   string
	}{
		{"field removed", func(f *descriptorpb.FileDescriptorProto) {
			f.MessageType[0].Field = f.MessageType[0].Field[1:]
		}, "field chestnutgauge.v1.Deployment.name"},
		{"field renumbered", func(f *descriptorpb.FileDescriptorProto) {
			f.MessageType[0].Field[0].Number = proto.Int32(99)
		}, "number of chestnutgauge.v1.Deployment.name"},
		{"field retyped", func(f *descriptorpb.FileDescriptorProto) {
			f.MessageType[0].Field[0].Type = descriptorpb.FieldDescriptorProto_TYPE_BYTES.Enum()
		}, "type of chestnutgauge.v1.Deployment.name"},
		{"field made repeated", func(f *descriptorpb.FileDescriptorProto) {
			f.MessageType[0].Field[0].Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
		}, "cardinality of chestnutgauge.v1.Deployment.name"},
		{"method removed", func(f *descriptorpb.FileDescriptorProto) {
			f.Service[0].Method = f.Service[0].Method[1:]
		}, "method chestnutgauge.v1.Operators.CreateDeployment"},
		{"value renumbered", func(f *descriptorpb.FileDescriptorProto) {
			f.EnumType[0].Value[1].Number = proto.Int32(9)
		}, "value chestnutgauge.v1.PRIORITY_CLASS_INTERACTIVE"},
		{"service renamed", func(f *descriptorpb.FileDescriptorProto) {
			f.Service[0].Name = proto.String("Other")
		}, "service chestnutgauge.v1.Operators"},
	}
	old, err := protodesc.NewFile(publishedFile(t), resolver{})
	require.NoError(t, err)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := publishedFile(t)
			c.change(file)
			now, err := protodesc.NewFile(file, resolver{})
			require.NoError(t, err)
			require.Contains(t, incompatibilities(old, now), c.want)
		})
	}
}
