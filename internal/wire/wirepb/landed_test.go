package wirepb_test

import (
	"bufio"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// recordLanded has the tests record today's messages in place of checking them, once a landing has changed them:
//
//	go test ./internal/wire/wirepb -record-landed COMMIT
var recordLanded = flag.String("record-landed", "", "record today's messages as those of this commit")

const (
	landedFolder     = "testdata/landed"
	descriptorSuffix = ".descriptor" // an encoded FileDescriptorProto
	samplesSuffix    = ".frames"     // lines of a message's name and its encoding in hexadecimal digits
	// sampleDepth is to what depth messages within messages are filled.
	sampleDepth = 4
)

// landedBuild is what a build that landed says between processes.
type landedBuild struct {
	commit  string
	file    protoreflect.FileDescriptor
	samples map[protoreflect.Name][]byte
}

// landedBuilds returns the recorded builds.
func landedBuilds(t *testing.T) []landedBuild {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(landedFolder, "*"+descriptorSuffix))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no landed builds are recorded (%v)", err)
	}
	var builds []landedBuild
	for _, path := range paths {
		commit := strings.TrimSuffix(filepath.Base(path), descriptorSuffix)
		builds = append(builds, landedBuild{commit, readDescriptor(t, path), readSamples(t, commit)})
	}
	return builds
}

func readDescriptor(t *testing.T, path string) protoreflect.FileDescriptor {
	t.Helper()
	encoded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	described := &descriptorpb.FileDescriptorProto{}
	if err := proto.Unmarshal(encoded, described); err != nil {
		t.Fatal(err)
	}
	file, err := protodesc.NewFile(described, nil)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func readSamples(t *testing.T, commit string) map[protoreflect.Name][]byte {
	t.Helper()
	file, err := os.Open(filepath.Join(landedFolder, commit+samplesSuffix))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	samples := make(map[protoreflect.Name][]byte)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		sample, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		samples[protoreflect.Name(name)] = sample
	}
	return samples
}

// fill sets every field of a message; of those that exclude each other, the one of the given number.
func fill(message protoreflect.Message, choice, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if group := field.ContainingOneof(); group != nil && group.Fields().Get(choice%group.Fields().Len()) != field {
			continue
		}
		switch {
		case field.Message() != nil && depth == 0:
		case field.IsList():
			list := message.Mutable(field).List()
			for range 2 {
				list.Append(sampleValue(list.NewElement(), field, choice, depth))
			}
		default:
			message.Set(field, sampleValue(message.NewField(field), field, choice, depth))
		}
	}
}

// sampleValue returns a value of a field that is neither zero nor that of its neighbours.
func sampleValue(empty protoreflect.Value, field protoreflect.FieldDescriptor, choice, depth int) protoreflect.Value {
	number := int(field.Number())
	switch field.Kind() {
	case protoreflect.MessageKind:
		fill(empty.Message(), choice, depth-1)
		return empty
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(field.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(field.Name()))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number) + .5)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) + .5)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(100 + number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(100 + number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(1000 + number))
	default:
		return protoreflect.ValueOfUint64(uint64(1000 + number))
	}
}

// sampleOf returns the encoding of a filled message. Numbers choose the field that is set where one of several is.
func sampleOf(t *testing.T, descriptor protoreflect.MessageDescriptor, choice int) []byte {
	t.Helper()
	message := dynamicpb.NewMessage(descriptor)
	fill(message, choice, sampleDepth)
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// todayOf returns an empty message of today's type, by its name in a landed build.
func todayOf(t *testing.T, name protoreflect.Name) protoreflect.MessageDescriptor {
	t.Helper()
	descriptor := wirepb.File_internal_wire_wirepb_wire_proto.Messages().ByName(name)
	if descriptor == nil {
		t.Fatalf("message %s of a landed build is gone", name)
	}
	return descriptor
}

// TestRecordLanded writes down what today's messages are, if it is told under which commit they landed.
func TestRecordLanded(t *testing.T) {
	if *recordLanded == "" {
		return
	}
	described, err := proto.MarshalOptions{Deterministic: true}.Marshal(protodesc.ToFileDescriptorProto(wirepb.File_internal_wire_wirepb_wire_proto))
	if err != nil {
		t.Fatal(err)
	}
	var samples strings.Builder
	messages := wirepb.File_internal_wire_wirepb_wire_proto.Messages()
	for i := range messages.Len() {
		fmt.Fprintf(&samples, "%s %x\n", messages.Get(i).Name(), sampleOf(t, messages.Get(i), 0))
	}
	requests := messages.ByName("Request")
	bodies := requests.Oneofs().ByName("body").Fields()
	for choice := 1; choice < bodies.Len(); choice++ {
		fmt.Fprintf(&samples, "Request#%s %x\n", bodies.Get(choice).Name(), sampleOf(t, requests, choice))
	}
	path := filepath.Join(landedFolder, *recordLanded)
	if err := os.WriteFile(path+descriptorSuffix, described, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+samplesSuffix, []byte(samples.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestLandedFieldsKeepTheirMeaning holds that no message or field of a build that landed is taken away, renumbered or given
// another type: processes of that build may run beside this one while machines are replaced.
func TestLandedFieldsKeepTheirMeaning(t *testing.T) {
	for _, build := range landedBuilds(t) {
		messages := build.file.Messages()
		for i := range messages.Len() {
			checkMessage(t, build.commit, messages.Get(i), todayOf(t, messages.Get(i).Name()))
		}
	}
}

// checkMessage compares the fields of one message, and of those that are defined within it.
func checkMessage(t *testing.T, commit string, landed, today protoreflect.MessageDescriptor) {
	t.Helper()
	fields := landed.Fields()
	for i := range fields.Len() {
		was := fields.Get(i)
		is := today.Fields().ByNumber(was.Number())
		if is == nil {
			t.Errorf("%s of %s: field %d, %s, is gone", landed.FullName(), commit, was.Number(), was.Name())
			continue
		}
		if meaning(is) != meaning(was) {
			t.Errorf("%s of %s: field %d was %s and is %s", landed.FullName(), commit, was.Number(), meaning(was), meaning(is))
		}
	}
	for i := range landed.Messages().Len() {
		within := landed.Messages().Get(i)
		if now := today.Messages().ByName(within.Name()); now != nil {
			checkMessage(t, commit, within, now)
		} else {
			t.Errorf("%s of %s is gone", within.FullName(), commit)
		}
	}
}

// meaning is what a field of a number holds.
func meaning(field protoreflect.FieldDescriptor) string {
	text := fmt.Sprintf("%s %s %s", field.Name(), field.Cardinality(), field.Kind())
	if field.Message() != nil {
		text += " " + string(field.Message().FullName())
	}
	if group := field.ContainingOneof(); group != nil {
		text += " in " + string(group.Name())
	}
	return text
}

// TestLandedFramesAreRead decodes what a build that landed sends, and writes it back so that that build reads the same.
func TestLandedFramesAreRead(t *testing.T) {
	for _, build := range landedBuilds(t) {
		for name, sample := range build.samples {
			base, _, _ := strings.Cut(string(name), "#")
			today := dynamicpb.NewMessage(todayOf(t, protoreflect.Name(base)))
			if err := proto.Unmarshal(sample, today); err != nil {
				t.Errorf("%s of %s: %v", name, build.commit, err)
				continue
			}
			if left := unknownFields(today); left > 0 {
				t.Errorf("%s of %s: %d bytes of fields are not known any more", name, build.commit, left)
			}
			passedBack(t, build, string(name), today, sample)
		}
	}
}

// passedBack has the landed build read what today's code has read of it.
func passedBack(t *testing.T, build landedBuild, name string, today proto.Message, sample []byte) {
	t.Helper()
	base, _, _ := strings.Cut(name, "#")
	written, err := proto.Marshal(today)
	if err != nil {
		t.Fatal(err)
	}
	descriptor := build.file.Messages().ByName(protoreflect.Name(base))
	was, is := dynamicpb.NewMessage(descriptor), dynamicpb.NewMessage(descriptor)
	if err := proto.Unmarshal(sample, was); err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(written, is); err != nil || !proto.Equal(was, is) {
		t.Errorf("%s of %s is another message once it was read and written (%v)", name, build.commit, err)
	}
}

// unknownFields counts the bytes of fields that a message and those within it do not know.
func unknownFields(message protoreflect.Message) int {
	count := len(message.GetUnknown())
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Message() == nil:
		case field.IsList():
			for i := range value.List().Len() {
				count += unknownFields(value.List().Get(i).Message())
			}
		default:
			count += unknownFields(value.Message())
		}
		return true
	})
	return count
}

// TestFramesOfTodayReachLandedBuilds has a build that landed decode today's messages: what it does not know is no
// fault to it, and is still there if it passes the message on.
func TestFramesOfTodayReachLandedBuilds(t *testing.T) {
	for _, build := range landedBuilds(t) {
		messages := wirepb.File_internal_wire_wirepb_wire_proto.Messages()
		for i := range messages.Len() {
			today := messages.Get(i)
			landed := build.file.Messages().ByName(today.Name())
			if landed == nil {
				continue
			}
			choices := 1
			if body := today.Oneofs().ByName("body"); body != nil {
				choices = body.Fields().Len()
			}
			for choice := range choices {
				reaches(t, build.commit, today, landed, sampleOf(t, today, choice))
			}
		}
	}
}

func reaches(t *testing.T, commit string, today, landed protoreflect.MessageDescriptor, sample []byte) {
	t.Helper()
	there := dynamicpb.NewMessage(landed)
	if err := proto.Unmarshal(sample, there); err != nil {
		t.Errorf("%s is no message to %s: %v", today.Name(), commit, err)
		return
	}
	passed, err := proto.Marshal(there)
	if err != nil {
		t.Fatal(err)
	}
	was, is := dynamicpb.NewMessage(today), dynamicpb.NewMessage(today)
	if err := proto.Unmarshal(sample, was); err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(passed, is); err != nil || !proto.Equal(was, is) {
		t.Errorf("%s loses fields at %s (%v)", today.Name(), commit, err)
	}
}

// TestDamagedFramesAreErrors cuts frames off at each byte, and gives fields another type. Both are errors or
// shorter messages, never a panic; a field of another type is not taken for the value of its number.
func TestDamagedFramesAreErrors(t *testing.T) {
	for _, build := range landedBuilds(t) {
		for name, sample := range build.samples {
			base, _, _ := strings.Cut(string(name), "#")
			descriptor := todayOf(t, protoreflect.Name(base))
			for length := range sample {
				_ = proto.Unmarshal(sample[:length], dynamicpb.NewMessage(descriptor))
			}
			for i := range descriptor.Fields().Len() {
				field := descriptor.Fields().Get(i)
				retyped := protowire.AppendTag(nil, field.Number(), otherType(field))
				retyped = append(retyped, 0, 0, 0, 0, 0, 0, 0, 0)
				message := dynamicpb.NewMessage(descriptor)
				if err := proto.Unmarshal(retyped, message); err == nil && message.Has(field) {
					t.Errorf("%s: field %s of another type was taken for its value", name, field.Name())
				}
			}
		}
	}
}

// otherType is an encoding that a field does not have.
func otherType(field protoreflect.FieldDescriptor) protowire.Type {
	switch field.Kind() {
	case protoreflect.Fixed32Kind, protoreflect.FloatKind, protoreflect.Sfixed32Kind:
		return protowire.Fixed64Type
	}
	return protowire.Fixed32Type
}
